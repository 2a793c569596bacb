use super::Cause;
use super::build;
use crate::line::Line;
use crate::tests::lines;

/// A program's turn is sent to a runner that is cut off, its second attempt reaches a VM that
/// reaches too few others, and the third is served by another VM. Three logs were concatenated out
/// of order.
#[test]
fn a_programs_timeline_names_the_cause_of_each_attempt() {
    let all = lines(
        "front-c-2 at=2026-05-17T07:00:03.600 event=E1201 text=\"call placed\" request=r3 program=p1 runner=i-9
front-c-2 at=2026-05-17T07:00:03.800 event=E1103 text=\"request answered\" request=r3 program=p1 status=200
front-b-3 at=2026-05-17T07:00:01.469 event=E1201 text=\"call placed\" request=r1 program=p1 runner=i-7
front-b-3 at=2026-05-17T07:00:01.574 event=E1102 text=\"request refused\" request=r1 program=p1 code=CY3101 why=\"the endpoint failed: connection error\"
front-b-3 at=2026-05-17T07:00:01.826 event=E1102 text=\"request refused\" request=r2 program=p1 code=CY4107 why=\"too few VMs with a disk answer\"
front-b-1 at=2026-05-17T07:00:01.000 event=E1103 text=\"request answered\" request=x1 program=p2 status=200",
    );
    let timeline = build("p1", &all);
    assert_eq!(timeline.lines.len(), 5);
    assert_eq!(
        timeline.lines[0].field("request"),
        "r1",
        "lines are ordered by time"
    );
    let requests: Vec<&str> = timeline
        .ends
        .iter()
        .map(|end| end.request.as_str())
        .collect();
    assert_eq!(requests, ["r1", "r2", "r3"]);
    let text = timeline.to_string();
    assert!(text.contains("request r2: refused, CY4107: too few VMs with a disk answer"));
    assert!(text.contains("request r3: answered with status 200"));
    assert_eq!(
        build("r2", &all).lines.len(),
        1,
        "the timeline of one request"
    );
}

/// A turn is refused because too few VMs with a disk answer. The refusal doesn't say since when,
/// but the last state lines of its own VM do. The state lines of another VM don't count.
#[test]
fn a_refusal_is_shown_with_the_state_of_its_vm() {
    let all = lines(
        "v at=2026-05-17T07:00:00.000 event=E1001 vm=v
v at=2026-05-17T07:00:01.000 event=E3108 answered=1 members=3
w at=2026-05-17T07:00:01.500 event=E3109 answered=3 members=3
v at=2026-05-17T07:00:02.000 event=E1102 request=r1 code=CY4107 why=few
v at=2026-05-17T07:00:03.000 event=E3109 answered=3 members=3",
    );
    let timeline = build("r1", &all);
    let state = &timeline.ends[0].state;
    let events: Vec<u16> = state.iter().map(|line| line.event).collect();
    assert_eq!(events, [1001, 3108]);
    assert_eq!(state[1].field("answered"), "1");
    assert!(timeline.to_string().contains("its VM before that"));
}

/// A process is killed in the middle of a stream. Its log lacks the end of the request but has the
/// start of the next process.
#[test]
fn a_killed_process_is_the_cause() {
    let placed = "front-a-1 at=2026-05-17T07:00:01.469 event=E1201 request=r1 program=p1";
    let started = "front-a-1 at=2026-05-17T07:00:04.000 event=E1001 vm=front-a-1";
    let elsewhere = "front-a-2 at=2026-05-17T07:00:04.000 event=E1001 vm=front-a-2";
    let ended = build("r1", &lines(&format!("{placed}\n{started}")));
    let vm = "front-a-1".to_owned();
    assert_eq!(ended.ends[0].cause, Cause::ProcessEnded { vm: vm.clone() });
    let missing = build("r1", &lines(&format!("{placed}\n{elsewhere}")));
    assert_eq!(missing.ends[0].cause, Cause::EndMissing { vm });
}

/// A stream is cut short because the caller has left, or because the time is over. The timeline
/// says which.
#[test]
fn a_cut_stream_names_who_gave_up() {
    let placed = "v at=2026-05-17T07:00:01.469 event=E1201 request=r1";
    let gone = "v at=2026-05-17T07:00:04.469 event=E1209 request=r1 events=2";
    let broken = "v at=2026-05-17T07:00:05.469 event=E1208 request=r1 why=\"the time is over\"";
    let timeline = build("r1", &lines(&format!("{placed}\n{gone}")));
    assert_eq!(timeline.ends[0].cause, Cause::CallerGone);
    let timeline = build("r1", &lines(&format!("{placed}\n{broken}")));
    let why = "the time is over".to_owned();
    assert_eq!(timeline.ends[0].cause, Cause::Broken { why });
}

/// A turn is answered completely, but later than its program could wait. The timeline says so, and
/// how much time passed before and at the runner. A turn whose program states no time limit isn't
/// late.
#[test]
fn a_late_answer_shows_time_before_and_at_the_runner() {
    let all = lines(
        "v at=2026-05-17T07:00:00.500 event=E1204 runner=i-2 why=Slow
v at=2026-05-17T07:00:01.012 event=E1201 request=r1 runner=i-2 waited_ms=12
v at=2026-05-17T07:00:02.600 event=E1103 request=r1 runner=i-2 status=200 ms=1600 finish_ms=500
v at=2026-05-17T07:00:03.000 event=E1103 request=r2 runner=i-2 status=200 ms=1600 finish_ms=0",
    );
    let timeline = build("r1", &all);
    let expected = Cause::Late {
        ms: 1_600,
        left_ms: 500,
        placed_ms: 12,
    };
    assert_eq!(timeline.ends[0].cause, expected);
    let text = timeline.to_string();
    assert!(text.contains("1588 from then on (at runner i-2)"), "{text}");
    assert!(text.contains("its runner before that: 2026-05-17T07:00:00.500 v E1204"));
    let status = "200".to_owned();
    assert_eq!(build("r2", &all).ends[0].cause, Cause::Answered { status });
}

/// When the request is refused at its VM `v`, one other VM (`w`) reaches too few VMs with a disk, `u`
/// reaches enough, and `x` reaches too few only 8 s later. What the person on call does depends on
/// whether one VM is cut off or the VMs with a disk are down, so the timeline names the VMs with the
/// same trouble.
#[test]
fn a_refusal_names_the_vms_with_the_same_trouble() {
    let all = lines(
        "u at=2026-05-17T07:00:00.000 event=E3108 answered=1 members=3
u at=2026-05-17T07:00:00.900 event=E3109 answered=3 members=3
v at=2026-05-17T07:00:01.000 event=E3108 answered=1 members=3
v at=2026-05-17T07:00:01.100 event=E1102 request=r1 code=CY4107 why=few
w at=2026-05-17T07:00:01.300 event=E3108 answered=1 members=3
w at=2026-05-17T07:00:01.400 event=E3109 answered=3 members=3
x at=2026-05-17T07:00:09.000 event=E3108 answered=1 members=3",
    );
    let timeline = build("r1", &all);
    let expected = "same trouble at that time: 1 of 3 other VMs: w\n";
    assert!(timeline.to_string().contains(expected), "{timeline}");
    let alone: Vec<Line> = all.into_iter().filter(|line| line.vm == "v").collect();
    let text = build("r1", &alone).to_string();
    assert!(
        text.contains("same trouble at that time: 0 of 0 other VMs\n"),
        "{text}"
    );
}

/// A VM with a disk is killed while a turn waits for it, and its log doesn't show its end. The
/// timeline infers the end from the VM's next start, and omits a process that ended long before.
#[test]
fn a_timeline_lists_processes_that_ended_without_logging_it() {
    let all = lines(
        "old at=2026-05-17T06:00:00.000 event=E1001 vm=old
old at=2026-05-17T06:00:02.000 event=E1001 vm=old
disk at=2026-05-17T07:00:00.000 event=E1001 vm=disk
front at=2026-05-17T07:00:01.000 event=E1201 request=r1 program=p1 runner=i-1
front at=2026-05-17T07:00:03.000 event=E1208 request=r1 program=p1 why=\"the turn couldn't be kept\"
disk at=2026-05-17T07:00:09.000 event=E1001 vm=disk",
    );
    let text = build("p1", &all).to_string();
    assert!(text.contains("(at runner i-1)"), "{text}");
    let expected = "lines may be missing: the process on disk ended without logging its end after 2026-05-17T07:00:00.000; a new one started at 2026-05-17T07:00:09.000";
    assert!(text.contains(expected), "{text}");
    assert!(!text.contains("on old"), "{text}");
}

/// The platform's store answers again for one subject, but not yet for another. A refusal while the
/// runners' entries are still unreachable is shown with the latest line of each subject, not only
/// with the latest line of all.
#[test]
fn an_outage_is_shown_for_each_subject() {
    let all = lines(
        "v at=2026-05-17T07:00:00.000 event=E2102 subject=Config fault=late
v at=2026-05-17T07:00:00.000 event=E2102 subject=Runners fault=late
v at=2026-05-17T07:00:01.000 event=E2103 subject=Config failures=3
v at=2026-05-17T07:00:02.000 event=E1102 request=r1 code=CY2204 why=none",
    );
    let timeline = build("r1", &all);
    let state = timeline.ends[0].state.iter();
    let subjects: Vec<(u16, &str)> = state
        .map(|line| (line.event, line.field("subject")))
        .collect();
    assert_eq!(subjects, [(2103, "Config"), (2102, "Runners")]);
}

/// A process ends while a request is in progress and logs that it cut the request off. Its log has
/// no new start yet, because the VM is still down. A settlement that is cut off doesn't change how
/// an answered request ended.
#[test]
fn a_request_cut_off_by_the_end_of_a_process_is_named() {
    let log = lines(
        "a at=2026-05-17T07:00:01.000 event=E1201 request=r1 program=p runner=i-1\n\
         a at=2026-05-17T07:00:02.000 event=E1103 request=r2 program=p runner=i-1 status=200 ms=9\n\
         a at=2026-05-17T07:00:03.000 event=E1210 request=r1 what=Answer ms=2000\n\
         a at=2026-05-17T07:00:03.000 event=E1210 request=r2 what=Settlement ms=900\n",
    );
    let ends: Vec<Cause> = build("p", &log)
        .ends
        .into_iter()
        .map(|end| end.cause)
        .collect();
    let vm = "a".to_owned();
    let status = "200".to_owned();
    assert_eq!(ends[1], Cause::Answered { status });
    let cut = build("r1", &log).ends.remove(0).cause;
    assert_eq!(cut, Cause::ProcessEnded { vm });
}

/// A call that may run at most once gets no answer in time. Its VM refuses it, and logs at the same
/// time that its caller had left. The person on call needs to know why there was no answer, not
/// that nobody waited for one.
#[test]
fn a_refusal_counts_even_if_the_caller_had_left() {
    let refused =
        "v at=2026-05-17T07:00:05.000 event=E1102 request=r1 code=CY3104 why=\"no answer in time\"";
    let answered =
        "v at=2026-05-17T07:00:05.000 event=E1103 request=r1 status=200 ms=5000 finish_ms=0";
    let left = "v at=2026-05-17T07:00:05.000 event=E1209 request=r1 ran_on=true";
    let timeline = build("r1", &lines(&format!("{refused}\n{left}")));
    let code = "CY3104".to_owned();
    let why = "no answer in time".to_owned();
    assert_eq!(timeline.ends[0].cause, Cause::Refused { code, why });
    let timeline = build("r1", &lines(&format!("{answered}\n{left}")));
    assert_eq!(timeline.ends[0].cause, Cause::CallerGone);
}

/// A runner doesn't answer one call. The person on call needs to know whether it hung or lost only
/// that answer; how the runner's other requests ended meanwhile, from all VMs, shows which.
#[test]
fn a_lost_answer_is_shown_with_its_runners_other_requests() {
    let all = lines(
        "w at=2026-05-17T07:00:00.900 event=E1103 request=a1 runner=i-1 status=200 ms=9 finish_ms=0
v at=2026-05-17T07:00:01.000 event=E1201 request=r1 runner=i-1
w at=2026-05-17T07:00:01.500 event=E1103 request=a2 runner=i-1 status=200 ms=9 finish_ms=0
w at=2026-05-17T07:00:01.600 event=E1103 request=a3 runner=i-2 status=200 ms=9 finish_ms=0
u at=2026-05-17T07:00:02.000 event=E1103 request=a4 runner=i-1 status=200 ms=9 finish_ms=0
u at=2026-05-17T07:00:02.500 event=E1203 request=a5 runner=i-1 why=\"no answer in time\"
u at=2026-05-17T07:00:02.600 event=E1203 request=a6 runner=i-1 why=\"not run, status 503\"
v at=2026-05-17T07:00:05.000 event=E1203 request=r1 runner=i-1 why=\"no answer in time\"
v at=2026-05-17T07:00:05.000 event=E1102 request=r1 code=CY3104 why=\"no answer in time\"",
    );
    let text = build("r1", &all).to_string();
    let expected = "its runner meanwhile: 2 other requests answered, 1 not\n";
    assert!(text.contains(expected), "{text}");
}

/// A turn notices that too few VMs with a disk answer before its VM's own health check does, and
/// its line can't name the unresponsive VMs. The health check just after does, and is shown with
/// the refusal.
#[test]
fn silent_members_are_named_even_if_a_turn_noticed_them_first() {
    let all = lines(
        "v at=2026-05-17T07:00:01.000 event=E3108 why=\"a turn's tokens could not be set aside\"
v at=2026-05-17T07:00:01.050 event=E1102 request=r1 code=CY4107 why=few
v at=2026-05-17T07:00:01.200 event=E3108 answered=1 members=3 silent=s-1,s-2
v at=2026-05-17T07:00:09.000 event=E3108 answered=1 members=3 silent=s-3,s-2",
    );
    let text = build("r1", &all).to_string();
    assert!(text.contains("its VM before that"), "{text}");
    let expected =
        "its VM just after: 2026-05-17T07:00:01.200 v E3108 answered=1 members=3 silent=s-1,s-2\n";
    assert!(text.contains(expected), "{text}");
    assert!(!text.contains("s-3"), "{text}");
}

/// A connection to a runner breaks off. What another VM logs about the runner just after, once it
/// has noticed, shows whether the network or the runner failed.
#[test]
fn a_broken_connection_is_shown_with_what_another_vm_notices() {
    let all = lines(
        "w at=2026-05-17T07:00:00.500 event=E5004 runner=i-1
v at=2026-05-17T07:00:01.000 event=E1201 request=r1 runner=i-1
v at=2026-05-17T07:00:01.010 event=E5007 runner=i-1
v at=2026-05-17T07:00:01.010 event=E1102 request=r1 code=CY3101 why=closed
v at=2026-05-17T07:00:01.500 event=E5008 runner=i-1
w at=2026-05-17T07:00:02.000 event=E5007 runner=i-2
w at=2026-05-17T07:00:03.000 event=E5005 runner=i-1
u at=2026-05-17T07:00:03.500 event=E5007 runner=i-1
v at=2026-05-17T07:00:05.000 event=E1201 request=r2 runner=i-3
v at=2026-05-17T07:00:05.010 event=E1102 request=r2 code=CY3101 why=closed
w at=2026-05-17T07:00:11.000 event=E5005 runner=i-3",
    );
    let text = build("r1", &all).to_string();
    let expected =
        "another VM about that runner just after: 2026-05-17T07:00:03.000 w E5005 runner=i-1\n";
    assert!(text.contains(expected), "{text}");
    let text = build("r2", &all).to_string();
    assert!(!text.contains("another VM about that runner"), "{text}");
}

/// Guards against logs of old and new processes beside each other of which `trace` reads only the ones.
#[test]
fn a_refusal_is_read_in_the_order_of_old_and_new_lines() {
    let old = "v at=2026-05-17T07:00:05.000 level=WARN event=E1102 text=\"request refused\" request=r1 program=p1 workspace= route=r revision=17 code=CY4107 ran=No waited_ms=379 runners_age_ms=2 revision_age_ms=5 why=\"too few VMs with a disk answer: catching up\"";
    let new = "v at=2026-05-17T07:00:05.000 level=WARN event=E1102 text=\"request refused\" request=r1 program=p1 code=CY4107 ran=No waited_ms=379 why=\"catching up\" route=r revision=17 revision_age_ms=5 runners_age_ms=2 workspace= code_text=\"too few VMs with a disk answer\"";
    let cut = &new[..160];
    let refused = |line: &str| match build("r1", &lines(line)).ends.remove(0).cause {
        Cause::Refused { code, why } => (code, why),
        cause => panic!("{cause}"),
    };
    assert_eq!(refused(old), refused(new));
    assert_eq!(
        refused(cut),
        ("CY4107".to_owned(), "catching up".to_owned())
    );
}

use super::Cause;
use super::of;
use crate::tests::lines;

/// A program's turn meets a runner that is cut off; its second try comes to a VM that reaches too few
/// others, the third is served elsewhere. Three logs were joined without regard to time.
#[test]
fn a_programs_story_names_the_cause_of_each_try() {
    let all = lines(
        "front-c-2 at=2026-05-17T07:00:03.600 event=E1201 text=\"call placed\" request=r3 program=p1 runner=i-9
front-c-2 at=2026-05-17T07:00:03.800 event=E1103 text=\"request answered\" request=r3 program=p1 status=200
front-b-3 at=2026-05-17T07:00:01.469 event=E1201 text=\"call placed\" request=r1 program=p1 runner=i-7
front-b-3 at=2026-05-17T07:00:01.574 event=E1102 text=\"request refused\" request=r1 program=p1 code=CY3101 why=\"the endpoint failed: connection error\"
front-b-3 at=2026-05-17T07:00:01.826 event=E1102 text=\"request refused\" request=r2 program=p1 code=CY4107 why=\"too few VMs with a disk answer\"
front-b-1 at=2026-05-17T07:00:01.000 event=E1103 text=\"request answered\" request=x1 program=p2 status=200",
    );
    let story = of("p1", &all);
    assert_eq!(story.lines.len(), 5);
    assert_eq!(story.lines[0].field("request"), "r1", "in order of time");
    let causes: Vec<&str> = story.ends.iter().map(|end| end.request.as_str()).collect();
    assert_eq!(causes, ["r1", "r2", "r3"]);
    let text = story.to_string();
    assert!(text.contains("request r2: refused, CY4107: too few VMs with a disk answer"));
    assert!(text.contains("request r3: answered with status 200"));
    assert_eq!(of("r2", &all).lines.len(), 1, "a request's own story");
}

/// A turn is refused for want of VMs with a disk. The refusal doesn't say since when; what its own VM
/// noted last does, and another VM's notes don't count.
#[test]
fn a_refusal_stands_beside_its_vms_state() {
    let all = lines(
        "v at=2026-05-17T07:00:00.000 event=E1001 vm=v
v at=2026-05-17T07:00:01.000 event=E3108 answered=1 members=3
w at=2026-05-17T07:00:01.500 event=E3109 answered=3 members=3
v at=2026-05-17T07:00:02.000 event=E1102 request=r1 code=CY4107 why=few
v at=2026-05-17T07:00:03.000 event=E3109 answered=3 members=3",
    );
    let story = of("r1", &all);
    let state = &story.ends[0].state;
    let events: Vec<u16> = state.iter().map(|line| line.event).collect();
    assert_eq!(events, [1001, 3108]);
    assert_eq!(state[1].field("answered"), "1");
    assert!(story.to_string().contains("its VM before that"));
}

/// A process is killed in the middle of a stream: its log holds no end of the request, but the start
/// of the next process.
#[test]
fn a_killed_process_is_the_cause() {
    let placed = "front-a-1 at=2026-05-17T07:00:01.469 event=E1201 request=r1 program=p1";
    let started = "front-a-1 at=2026-05-17T07:00:04.000 event=E1001 vm=front-a-1";
    let elsewhere = "front-a-2 at=2026-05-17T07:00:04.000 event=E1001 vm=front-a-2";
    let ended = of("r1", &lines(&format!("{placed}\n{started}")));
    let vm = "front-a-1".to_owned();
    assert_eq!(ended.ends[0].cause, Cause::ProcessEnded { vm: vm.clone() });
    let missing = of("r1", &lines(&format!("{placed}\n{elsewhere}")));
    assert_eq!(missing.ends[0].cause, Cause::EndMissing { vm });
}

/// A stream ends late: the caller has left, or the time is over. The story says which.
#[test]
fn a_late_stream_tells_who_gave_up() {
    let placed = "v at=2026-05-17T07:00:01.469 event=E1201 request=r1";
    let gone = "v at=2026-05-17T07:00:04.469 event=E1209 request=r1 events=2";
    let broken = "v at=2026-05-17T07:00:05.469 event=E1208 request=r1 why=\"the time is over\"";
    let story = of("r1", &lines(&format!("{placed}\n{gone}")));
    assert_eq!(story.ends[0].cause, Cause::CallerGone);
    let story = of("r1", &lines(&format!("{placed}\n{broken}")));
    let why = "the time is over".to_owned();
    assert_eq!(story.ends[0].cause, Cause::Broken { why });
}

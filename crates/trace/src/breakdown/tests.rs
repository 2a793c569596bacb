use super::Phase;
use super::render;
use super::sum;
use crate::tests::lines;

/// One program waits two seconds after refusals and ends late, one fails, one is in time and one has
/// spent its tokens; only the first two are told, with where their time went.
#[test]
fn late_and_failed_programs_tell_where_their_time_went() {
    let all = lines(
        "v at=2026-05-17T00:00:01.000 event=E1102 request=a1 program=late code=CY4107
v at=2026-05-17T00:00:03.000 event=E1201 request=a2 program=late
v at=2026-05-17T00:00:03.400 event=E1103 request=a2 program=late status=200 ms=410 finish_ms=100
v at=2026-05-17T00:00:02.000 event=E1201 request=b1 program=failed
v at=2026-05-17T00:00:03.100 event=E1102 request=b1 program=failed code=CY3104
v at=2026-05-17T00:00:03.000 event=E1103 request=c1 program=good status=200 ms=10 finish_ms=100
v at=2026-05-17T00:00:03.000 event=E1102 request=d1 program=spent code=CY2104
v at=2026-05-17T00:00:03.000 event=E1102 request=e1 program=forged code=CY1306",
    );
    let seconds = sum(&all);
    assert_eq!(seconds.len(), 1);
    assert_eq!((seconds[0].late, seconds[0].failed), (1, 1));
    let spent = |phase: Phase| {
        let found = seconds[0]
            .spent_ms
            .iter()
            .find(|(known, _)| *known == phase);
        found.map(|(_, ms)| *ms)
    };
    assert_eq!(spent(Phase::Refused), Some(2_000));
    assert_eq!(spent(Phase::Runner), Some(400 + 1_100));
    assert_eq!(spent(Phase::ProcessEnded), Some(0));
    assert!(render(&seconds).contains("Refused ms"));
}

/// A process ends in the middle of a turn; the program's next try is another request.
#[test]
fn time_after_a_process_has_ended_is_told() {
    let all = lines(
        "v at=2026-05-17T00:00:01.000 event=E1201 request=a1 program=p
w at=2026-05-17T00:00:03.500 event=E1201 request=a2 program=p
w at=2026-05-17T00:00:03.900 event=E1103 request=a2 program=p ms=400 finish_ms=100",
    );
    let seconds = sum(&all);
    assert_eq!(seconds[0].spent_ms[2], (Phase::ProcessEnded, 2_500));
}

/// A program that tells no time to be finished by has `finish_ms=0` in its lines. Its answer, however
/// long it took, isn't late.
#[test]
fn a_program_that_tells_no_time_is_never_late() {
    let all = lines(
        "v at=2026-05-17T00:00:01.000 event=E1201 request=a1 program=p
v at=2026-05-17T00:00:09.000 event=E1103 request=a1 program=p status=200 ms=8000 finish_ms=0",
    );
    assert_eq!(sum(&all), []);
}

use super::Phase;
use super::render;
use super::sum;
use crate::tests::lines;

/// One program waits two seconds after a refusal and ends late, one fails, one is in time, one has
/// spent its tokens and one has a forged id. Only the first two count, each with its time by phase.
#[test]
fn time_of_late_and_failed_programs_is_summed_by_phase() {
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

/// A process ends in the middle of a turn, and the program retries with a new request.
#[test]
fn time_after_the_end_of_a_process_is_counted() {
    let all = lines(
        "v at=2026-05-17T00:00:01.000 event=E1201 request=a1 program=p
w at=2026-05-17T00:00:03.500 event=E1201 request=a2 program=p
w at=2026-05-17T00:00:03.900 event=E1103 request=a2 program=p ms=400 finish_ms=100",
    );
    let seconds = sum(&all);
    assert_eq!(seconds[0].spent_ms[2], (Phase::ProcessEnded, 2_500));
}

/// A program that states no time limit has `finish_ms=0` in its lines. Its answer is never late,
/// however long it took.
#[test]
fn a_program_without_a_time_limit_is_never_late() {
    let all = lines(
        "v at=2026-05-17T00:00:01.000 event=E1201 request=a1 program=p
v at=2026-05-17T00:00:09.000 event=E1103 request=a1 program=p status=200 ms=8000 finish_ms=0",
    );
    assert_eq!(sum(&all), []);
}

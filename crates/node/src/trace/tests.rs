use super::*;

fn program(text: &str) -> id::Program {
    id::Program::parse(text).unwrap()
}

#[test]
fn the_latest_decisions_are_kept_by_program() {
    let trace = Trace::default();
    for turn in 0..u32::try_from(MAX_DECISIONS).unwrap() {
        trace.record(Millis::ZERO, Event::CallPlaced, &program("a"), turn, "");
    }
    trace.record(
        Millis::ZERO,
        Event::CallPlaced,
        &program("b"),
        1,
        "choice=fast",
    );
    assert_eq!(trace.decisions(&program("b"))[0].detail, "choice=fast");
    let kept = trace.decisions(&program("a"));
    assert_eq!((kept.len(), kept[0].turn), (MAX_DECISIONS - 1, 1));
}

#[test]
fn a_long_detail_is_truncated_at_a_character_boundary() {
    let long = "ü".repeat(MAX_DETAIL);
    assert!(truncate(&long).len() <= MAX_DETAIL);
    assert!(truncate(&long).chars().all(|c| c == 'ü'));
}

use rstest::rstest;

use super::parse;

const PLACED: &str = "at=2026-05-17T07:22:07.072 level=INFO event=E1201 text=\"call placed\" request=4cd1 program=b2ed route=talk occupied=2";

#[test]
fn a_line_is_parsed_with_its_fields() {
    let line = parse(PLACED, "front-a-1.log").expect("the line is complete");
    assert_eq!((line.vm.as_str(), line.event), ("front-a-1.log", 1201));
    assert_eq!(line.field("text"), "call placed");
    assert_eq!(line.number("occupied"), Some(2));
    assert_eq!(line.field("cached"), "");
    assert_eq!(line.day_ms, ((7 * 60 + 22) * 60 + 7) * 1000 + 72);
}

#[test]
fn the_word_that_a_collector_puts_before_the_time_names_the_vm() {
    let line = parse(&format!("  33.04 front-b-3 {PLACED}"), "all").expect("the line is complete");
    assert_eq!(line.vm, "front-b-3");
}

/// A process is killed while it writes, or a collector truncates a long line. The rest must not be
/// taken for a line with other values.
#[rstest]
#[case::truncated_in_a_quote("at=2026-05-17T07:22:07.072 event=E1102 request=1 why=\"too few")]
#[case::truncated_in_the_time("at=2026-05-1")]
#[case::no_event("at=2026-05-17T07:22:07.072 level=WARN text=\"turn not kept yet\"")]
#[case::something_else("thread panicked")]
fn truncated_lines_are_rejected(#[case] text: &str) {
    assert_eq!(parse(text, "log"), None);
}

/// A process is killed while it writes, and the next one writes to the same log, so its start event
/// follows the truncated line without a line break. The start event reveals the kill, so it is
/// parsed, without any field of the truncated line.
#[rstest]
#[case::truncated_in_a_value(
    "at=2026-05-17T07:22:07.072 level=WARN event=E1102 request=1 code=CY41"
)]
#[case::truncated_in_a_quote("at=2026-05-17T07:22:07.072 event=E1102 request=1 why=\"too few")]
#[case::truncated_in_the_time("at=2026-05-17T07:2")]
fn the_start_event_after_a_truncated_line_is_parsed(#[case] truncated: &str) {
    let start = "at=2026-05-17T07:22:09.000 level=INFO event=E1001 text=\"node started\" vm=v";
    let line =
        parse(&format!("{truncated}{start}"), "front-a-1").expect("the start event is complete");
    assert_eq!((line.vm.as_str(), line.event), ("front-a-1", 1001));
    assert_eq!(line.at, "2026-05-17T07:22:09.000");
    assert_eq!((line.field("request"), line.field("vm")), ("", "v"));
}

/// Two processes are killed one after the other, each while it writes. No complete line is left,
/// and the rest of the second line must not be taken for a value of the first.
#[test]
fn two_truncated_lines_are_rejected() {
    let truncated = "at=2026-05-17T07:22:07.072 event=E1102 request=1 code=CY41";
    assert_eq!(
        parse(&format!("{truncated}at=2026-05-17T07:22:09.000 lev"), "log"),
        None
    );
}

#[test]
fn a_time_in_a_quoted_value_begins_no_line() {
    let text =
        "at=2026-05-17T07:22:07.072 event=E1102 why=\"lost at=2026-05-17T07:22:01.000\" code=CY1";
    let line = parse(text, "log").expect("the line is complete");
    assert_eq!(line.at, "2026-05-17T07:22:07.072");
    assert_eq!(line.field("code"), "CY1");
}

/// What a collector keeps of a line with the deciding fields first.
const KEPT: &str = "at=2026-05-17T07:22:07.072 level=WARN event=E1102 text=\"request refused\" request=f218b529f06de527 program=dfb702ab34cd code=CY4107 ran=No waited_ms=379 why=\"catching up, list 12/3, 0 ready 3 behind\" ro";

/// Guards against a refusal that is left out because a collector cut its line behind the reason.
#[test]
fn a_line_that_is_cut_behind_its_reason_tells_it() {
    let line = parse(&KEPT[..200], "front-a-1").expect("what decides is complete");
    assert_eq!(line.field("code"), "CY4107");
    assert_eq!(line.number("waited_ms"), Some(379));
    assert_eq!(
        line.field("why"),
        "catching up, list 12/3, 0 ready 3 behind"
    );
}

/// Guards against a panic on a line that is cut anywhere, and against other values than those that were written.
#[test]
fn a_line_that_is_cut_anywhere_has_no_other_reason() {
    for end in 0..KEPT.len() {
        if let Some(line) = parse(&KEPT[..end], "front-a-1") {
            let why = line.field("why");
            assert!(why.is_empty() || why.ends_with(" behind"), "{why}");
        }
    }
}

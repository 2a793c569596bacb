use rstest::rstest;

use super::parse;

const PLACED: &str = "at=2026-05-17T07:22:07.072 level=INFO event=E1201 text=\"call placed\" request=4cd1 program=b2ed route=talk occupied=2";

#[test]
fn a_line_is_read_with_its_fields() {
    let line = parse(PLACED, "front-a-1.log").expect("it is whole");
    assert_eq!((line.vm.as_str(), line.event), ("front-a-1.log", 1201));
    assert_eq!(line.field("text"), "call placed");
    assert_eq!(line.number("occupied"), Some(2));
    assert_eq!(line.field("cached"), "");
    assert_eq!(line.day_ms, ((7 * 60 + 22) * 60 + 7) * 1000 + 72);
}

#[test]
fn what_a_collector_puts_before_it_names_the_vm() {
    let line = parse(&format!("  33.04 front-b-3 {PLACED}"), "all").expect("it is whole");
    assert_eq!(line.vm, "front-b-3");
}

/// A process is killed while it writes, and a collector cuts long lines. What is left must not pass
/// for a line with other values.
#[rstest]
#[case::torn_in_a_quote("at=2026-05-17T07:22:07.072 event=E1102 request=1 why=\"too few")]
#[case::torn_in_the_time("at=2026-05-1")]
#[case::no_event("at=2026-05-17T07:22:07.072 level=WARN text=\"turn not kept yet\"")]
#[case::something_else("thread panicked")]
fn torn_lines_are_left_out(#[case] text: &str) {
    assert_eq!(parse(text, "log"), None);
}

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

/// A process is killed while it writes, and the next one writes to the same log: its start stands
/// behind the torn line. The start is what tells of the kill, so it is read, and none of the torn
/// line's fields with it.
#[rstest]
#[case::torn_in_a_value("at=2026-05-17T07:22:07.072 level=WARN event=E1102 request=1 code=CY41")]
#[case::torn_in_a_quote("at=2026-05-17T07:22:07.072 event=E1102 request=1 why=\"too few")]
#[case::torn_in_the_time("at=2026-05-17T07:2")]
fn the_start_behind_a_torn_line_is_read(#[case] torn: &str) {
    let start = "at=2026-05-17T07:22:09.000 level=INFO event=E1001 text=\"node started\" vm=v";
    let line = parse(&format!("{torn}{start}"), "front-a-1").expect("the start is whole");
    assert_eq!((line.vm.as_str(), line.event), ("front-a-1", 1001));
    assert_eq!(line.at, "2026-05-17T07:22:09.000");
    assert_eq!((line.field("request"), line.field("vm")), ("", "v"));
}

/// Two processes are killed one after the other, each while it writes. Nothing whole is left, and the
/// second line's rest must not pass for a value of the first.
#[test]
fn two_torn_lines_are_left_out() {
    let torn = "at=2026-05-17T07:22:07.072 event=E1102 request=1 code=CY41";
    assert_eq!(
        parse(&format!("{torn}at=2026-05-17T07:22:09.000 lev"), "log"),
        None
    );
}

#[test]
fn a_time_in_a_fields_text_begins_no_line() {
    let text =
        "at=2026-05-17T07:22:07.072 event=E1102 why=\"lost at=2026-05-17T07:22:01.000\" code=CY1";
    let line = parse(text, "log").expect("it is whole");
    assert_eq!(line.at, "2026-05-17T07:22:07.072");
    assert_eq!(line.field("code"), "CY1");
}

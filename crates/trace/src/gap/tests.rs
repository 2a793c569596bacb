use super::Gap;
use super::Notice;
use super::find;
use super::within;
use crate::line::Line;
use crate::line::parse;

fn lines(text: &str) -> Vec<Line> {
    let parsed = text.lines().map(|line| parse(line, "log"));
    parsed
        .map(|line| line.expect("the line is complete"))
        .collect()
}

/// One process is killed and a new one starts, the second shuts down cleanly, and the third is
/// killed while it stops. Only the first and the third are gaps, each with the time of its last
/// line.
#[test]
fn a_start_without_a_preceding_end_is_a_gap() {
    let all = lines(
        "v at=2026-05-17T07:00:01.000 event=E1001 vm=v
v at=2026-05-17T07:00:02.000 event=E1201 request=r1
v at=2026-05-17T07:00:04.000 event=E1001 vm=v
v at=2026-05-17T07:00:05.000 event=E1002
v at=2026-05-17T07:00:06.000 event=E1003
v at=2026-05-17T07:00:07.000 event=E1001 vm=v
v at=2026-05-17T07:00:08.000 event=E1002
v at=2026-05-17T07:00:09.000 event=E1001 vm=v",
    );
    let ended = |last: &str, start: &str, told| Gap::Ended {
        vm: "v".to_owned(),
        last: format!("2026-05-17T07:00:0{last}.000"),
        start: format!("2026-05-17T07:00:0{start}.000"),
        told,
    };
    let expected = [
        ended("2", "4", Notice::Nothing),
        ended("8", "9", Notice::Stopping),
    ];
    assert_eq!(find(&all), expected);
}

/// The logs of two VMs are concatenated out of order, and each lacks its beginning. A line of one
/// VM between two lines of the other hides no gap, and a missing beginning isn't a lost process.
#[test]
fn logs_of_several_vms_are_kept_apart() {
    let all = lines(
        "w at=2026-05-17T07:00:05.000 event=E1001 vm=w
v at=2026-05-17T07:00:01.000 event=E1201 request=r1
w at=2026-05-17T07:00:02.000 event=E1003
v at=2026-05-17T07:00:03.000 event=E1001 vm=v",
    );
    let gaps = find(&all);
    assert_eq!(gaps.len(), 1, "{gaps:?}");
    assert!(gaps[0].to_string().contains("the process on v ended"));
}

/// Lines were dropped while a request ran. Their count is logged with the next line that passes,
/// after the request's last line. A second, later count doesn't concern the request, nor does the
/// count of another VM.
#[test]
fn the_first_count_of_dropped_lines_after_a_timeline_belongs_to_it() {
    let all = lines(
        "v at=2026-05-17T07:00:01.000 event=E1005 lines=1
v at=2026-05-17T07:00:02.000 event=E1201 request=r1
w at=2026-05-17T07:00:03.000 event=E1005 lines=9
v at=2026-05-17T07:00:04.000 event=E1005 lines=7
v at=2026-05-17T07:00:05.000 event=E1005 lines=3",
    );
    let at = "2026-05-17T07:00:02.000";
    let found = within(&find(&all), at, at, &["v"]);
    let expected = Gap::Dropped {
        vm: "v".to_owned(),
        at: "2026-05-17T07:00:04.000".to_owned(),
        lines: 7,
    };
    assert_eq!(found, [expected]);
}

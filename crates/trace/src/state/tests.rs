use wire::event::Event;

use super::Index;
use crate::line::Line;
use crate::tests::lines;

/// Builds concatenated logs of several VMs, out of order, with several lines at the same time.
fn logs() -> Vec<Line> {
    let events = [1001, 1002, 2102, 2103, 3108, 3112, 3109, 3118, 3119, 1201];
    let line = |at: usize| {
        let second = at * 7 % 13;
        let event = events[at * 5 % 11 % events.len()];
        let vm = ["a", "aa", "b"][at * 3 % 7 % 3];
        format!("{vm} at=2026-05-17T07:00:{second:02}.000 event=E{event} number={at}")
    };
    let text: Vec<String> = (0..300).map(line).collect();
    lines(&text.join("\n"))
}

#[test]
fn the_index_agrees_with_a_search_of_all_lines() {
    let all = logs();
    let index = Index::new(&all);
    for line in &all {
        let groups: [&[u16]; 4] = [
            &[1001, 1002],
            &[2102, 2103],
            &[3108, 3112, 3109],
            &[3118, 3119],
        ];
        let latest = |group: &&[u16]| {
            let vm_lines = all.iter().filter(|other| other.vm == line.vm);
            let matching =
                vm_lines.filter(|other| other.at <= line.at && group.contains(&other.event));
            matching.max_by(|a, b| a.at.cmp(&b.at)).cloned()
        };
        let expected: Vec<Line> = groups.iter().filter_map(latest).collect();
        assert_eq!(index.latest(line), expected, "{line}");
        let started = |other: &Line| other.event == Event::NodeStarted.number();
        let vm_lines = all.iter().filter(|other| other.vm == line.vm);
        let expected = vm_lines
            .clone()
            .any(|other| other.at >= line.at && started(other));
        assert_eq!(index.starts_after(line), expected, "{line}");
    }
}

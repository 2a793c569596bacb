use policy::crash::Verdict;
use policy::crash::Width;

use super::*;
use crate::crashes::Crashes;

const NOW: Millis = Millis::new(1_000_000);
const CONTENT: Content = Content(7);

/// A process of a VM.
struct Vm {
    name: &'static str,
    process: u64,
    crashes: Crashes,
}

fn vm(name: &'static str, process: u64) -> Vm {
    Vm {
        name,
        process,
        crashes: Crashes::default(),
    }
}

impl Vm {
    fn see_crash(&mut self, incarnation: u64) {
        let report = Report {
            content: CONTENT,
            wider: None,
            outcome: Outcome::Crashed(Incarnation(incarnation)),
            age: Millis::ZERO,
        };
        assert!(self.crashes.ledger.note(report, NOW));
    }

    fn news(&self, to: &Vm) -> News {
        self.crashes.news(to.name, self.process, NOW)
    }

    fn hear(&mut self, from: &Vm) -> usize {
        let news = from.news(self);
        self.crashes.apply(from.name, &news, self.process, NOW);
        news.changes.len()
    }

    fn known(&self) -> usize {
        self.crashes.ledger.crashes(CONTENT)
    }
}

#[test]
fn nothing_is_sent_where_nothing_crashed() {
    let (first, second) = (vm("a", 1), vm("b", 2));
    assert_eq!(first.news(&second), News::default());
}

/// Guards against each message repeating all that a VM knows.
#[test]
fn changes_are_sent_until_they_are_confirmed() {
    let (mut first, mut second) = (vm("a", 1), vm("b", 2));
    first.see_crash(1);
    assert_eq!(first.news(&second).changes.len(), 1, "this one is lost");
    assert_eq!(second.hear(&first), 1);
    first.hear(&second);
    assert!(first.news(&second).changes.is_empty());
    first.see_crash(2);
    assert_eq!(second.hear(&first), 1);
    assert_eq!(second.known(), 2);
}

/// Guards against a process that starts without knowing what its VM knew before.
#[test]
fn a_new_process_is_told_everything() {
    let (mut first, mut second) = (vm("a", 1), vm("b", 2));
    first.see_crash(1);
    first.see_crash(2);
    second.hear(&first);
    first.hear(&second);
    let mut second = vm("b", 3);
    first.hear(&second);
    assert_eq!(second.hear(&first), 2);
    assert_eq!(second.known(), 2);
}

/// Guards against VMs that only hear of crashes through another one.
#[test]
fn what_was_heard_is_passed_on() {
    let (mut leaf, mut hub, mut other) = (vm("a", 1), vm("b", 2), vm("c", 3));
    leaf.see_crash(1);
    hub.hear(&leaf);
    other.hear(&hub);
    assert_eq!(other.known(), 1);
}

/// Guards against VMs of which each knows another width of a culprit.
#[test]
fn what_a_content_is_a_part_of_is_passed_on() {
    let (mut leaf, mut hub, mut other) = (vm("a", 1), vm("b", 2), vm("c", 3));
    let wider = Scope {
        body: Content(8),
        resource: Content(9),
    };
    for number in 1..=2 {
        let report = Report {
            content: Content(number.into()),
            wider: Some(wider),
            outcome: Outcome::Crashed(Incarnation(number)),
            age: Millis::ZERO,
        };
        assert!(leaf.crashes.ledger.note(report, NOW));
    }
    hub.hear(&leaf);
    other.hear(&hub);
    let known = &other.crashes.ledger;
    let verdict = known.verdict(Content(3), Some(wider));
    assert_eq!(verdict, Verdict::Refused(Width::Body));
}

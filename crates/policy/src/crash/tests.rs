use super::*;

const CULPRIT: Content = Content(1);
const OTHER: Content = Content(2);
const NOW: Millis = Millis::new(1_000_000);

fn crash(content: Content, incarnation: u64, age: u64) -> Report {
    Report {
        content,
        wider: None,
        outcome: Outcome::Crashed(Incarnation(incarnation)),
        age: Millis::new(age),
    }
}

fn completion(content: Content, age: u64) -> Report {
    Report {
        content,
        wider: None,
        outcome: Outcome::Completed,
        age: Millis::new(age),
    }
}

fn ledger(reports: &[Report]) -> Ledger {
    let mut ledger = Ledger::default();
    for report in reports {
        ledger.note(*report, NOW);
    }
    ledger
}

#[test]
fn the_second_crash_ends_a_content_that_was_alone() {
    let mut ledger = ledger(&[crash(CULPRIT, 1, 30), crash(OTHER, 1, 30)]);
    assert_eq!(ledger.verdict(CULPRIT, None), Verdict::Allowed);
    assert!(ledger.note(crash(CULPRIT, 2, 20), NOW));
    assert_eq!(
        ledger.verdict(CULPRIT, None),
        Verdict::Refused(Width::Exact)
    );
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Allowed);
}

/// Guards against the refusal of a request that was sent again beside the culprit.
#[test]
fn the_third_crash_tells_the_culprit_from_a_companion() {
    let mut ledger = ledger(&[
        crash(CULPRIT, 1, 30),
        crash(OTHER, 1, 30),
        crash(CULPRIT, 2, 20),
        crash(OTHER, 2, 20),
    ]);
    assert_eq!(ledger.verdict(CULPRIT, None), Verdict::Allowed);
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Allowed);
    ledger.note(crash(CULPRIT, 3, 10), NOW);
    assert_eq!(
        ledger.verdict(CULPRIT, None),
        Verdict::Refused(Width::Exact)
    );
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Allowed);
}

/// Guards against one crash that several VMs report and that counts as several.
#[test]
fn a_crash_counts_once() {
    let mut ledger = ledger(&[crash(CULPRIT, 1, 30)]);
    for age in [40, 30, 20] {
        assert!(!ledger.note(crash(CULPRIT, 1, age), NOW));
    }
    assert_eq!(ledger.crashes(CULPRIT), 1);
}

/// Guards against the refusal of a request that was beside the culprit, and met a crash of another
/// cause later.
#[test]
fn a_crash_that_another_content_explains_does_not_count() {
    let ledger = ledger(&[
        crash(CULPRIT, 1, 9_000),
        crash(OTHER, 1, 9_000),
        crash(CULPRIT, 2, 8_900),
        crash(OTHER, 4, 10),
    ]);
    assert_eq!(
        ledger.verdict(CULPRIT, None),
        Verdict::Refused(Width::Exact)
    );
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Allowed);
}

/// Guards against a culprit that goes free because another request was beside it each time.
#[test]
fn contents_with_the_same_crashes_are_both_refused() {
    let both = [1, 2, 3].map(|number| {
        let age = 1_000 - number * 100;
        [crash(CULPRIT, number, age), crash(OTHER, number, age + 3)]
    });
    let ledger = ledger(both.as_flattened());
    assert_eq!(
        ledger.verdict(CULPRIT, None),
        Verdict::Refused(Width::Exact)
    );
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Refused(Width::Exact));
}

/// Guards against two culprits at the same endpoints, of which the first one excuses the second.
#[test]
fn a_second_culprit_is_refused_after_crashes_of_its_own() {
    let mut ledger = ledger(&[
        crash(CULPRIT, 1, 9_000),
        crash(CULPRIT, 2, 8_900),
        crash(OTHER, 1, 9_000),
        crash(OTHER, 5, 5_000),
    ]);
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Allowed);
    ledger.note(crash(OTHER, 6, 4_000), NOW);
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Refused(Width::Exact));
}

#[test]
fn a_content_that_ran_to_its_end_is_cleared() {
    let mut ledger = ledger(&[crash(OTHER, 1, 30), crash(OTHER, 2, 20)]);
    assert!(ledger.note(completion(OTHER, 10), NOW));
    assert!(!ledger.note(completion(OTHER, 5), NOW), "nothing to clear");
    assert!(!ledger.note(crash(OTHER, 1, 30), NOW), "told late");
    ledger.note(crash(OTHER, 3, 2), NOW);
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Allowed);
    assert_eq!(ledger.crashes(OTHER), 1);
}

/// Guards against VMs that disagree, as what they tell each other arrives in any order.
#[test]
fn reports_in_any_order_lead_to_the_same_crashes() {
    let reports = [
        crash(OTHER, 1, 60),
        completion(OTHER, 50),
        crash(OTHER, 2, 40),
        crash(OTHER, 3, 30),
    ];
    for first in 0..reports.len() {
        for second in 0..reports.len() {
            let mut shuffled = reports;
            shuffled.swap(first, second);
            let mut ledger = ledger(&shuffled);
            // What was told before the crash it clears is told again by the others.
            ledger.note(completion(OTHER, 50), NOW);
            assert_eq!(ledger.crashes(OTHER), 2, "{shuffled:?}");
        }
    }
}

#[test]
fn changes_bring_another_ledger_up_to_date() {
    let mut first = ledger(&[crash(CULPRIT, 1, 30), crash(OTHER, 1, 30)]);
    let mut second = Ledger::default();
    let mut told = 0;
    while told < first.latest() {
        let changes = first.changes(told, 1, NOW);
        assert_eq!(changes.reports.len(), 1);
        second.note(changes.reports[0], NOW);
        told = changes.through;
    }
    first.note(crash(CULPRIT, 2, 20), NOW);
    first.note(completion(OTHER, 10), NOW);
    let later = NOW.plus(Millis::new(500));
    let changes = first.changes(told, 10, later);
    assert_eq!(changes.reports.len(), 2);
    for report in changes.reports {
        second.note(report, later);
    }
    assert_eq!(second.crashes(CULPRIT), 2);
    assert_eq!(second.crashes(OTHER), 0);
    let told = first.latest();
    assert!(first.changes(told, 10, later).reports.is_empty());
}

#[test]
fn old_contents_are_forgotten_and_their_number_is_bounded() {
    let mut ledger = Ledger::default();
    ledger.note(crash(CULPRIT, 1, 20), NOW);
    ledger.note(crash(CULPRIT, 2, 10), NOW);
    for number in 0..2_000 {
        ledger.note(crash(Content(100 + number), 3, 0), NOW);
    }
    assert_eq!(ledger.suspects.len(), MAX_SUSPECTS);
    assert_eq!(ledger.crashes(CULPRIT), 2);
    ledger.forget_old(NOW.plus(RETENTION));
    assert!(ledger.is_empty());
}

/// A body of a resource.
const fn part(resource: u128, body: u128) -> Scope {
    Scope {
        body: Content(resource * 1_000 + body),
        resource: Content(resource * 1_000),
    }
}

/// Returns a crash of a content that is a part of something.
fn wide_crash(content: u128, wider: Scope, incarnation: u64, age: u64) -> Report {
    Report {
        wider: Some(wider),
        ..crash(Content(content), incarnation, age)
    }
}

fn wide_completion(content: u128, wider: Scope, age: u64) -> Report {
    Report {
        wider: Some(wider),
        ..completion(Content(content), age)
    }
}

/// Guards against a body that crashes endpoints again and again, as it continues another turn each time.
#[test]
fn a_body_is_refused_whatever_turn_it_continues() {
    let body = part(9, 1);
    let other = part(8, 1);
    let mut ledger = ledger(&[
        wide_crash(1, body, 1, 40),
        wide_crash(50, other, 1, 40),
        wide_crash(2, body, 2, 30),
        wide_crash(51, other, 2, 30),
    ]);
    let verdict = |ledger: &Ledger, wider| ledger.verdict(Content(7), Some(wider));
    assert_eq!(
        verdict(&ledger, body),
        Verdict::Allowed,
        "the other was there"
    );
    ledger.note(wide_crash(3, body, 3, 20), NOW);
    assert_eq!(verdict(&ledger, body), Verdict::Refused(Width::Body));
    assert_eq!(verdict(&ledger, other), Verdict::Allowed);
    assert_eq!(verdict(&ledger, part(9, 2)), Verdict::Allowed);
    ledger.note(wide_completion(4, body, 10), NOW);
    assert_eq!(verdict(&ledger, body), Verdict::Allowed);
}

/// Guards against a resource that crashes endpoints again and again, with another body each time.
#[test]
fn a_resource_is_refused_with_any_body() {
    let mut ledger = Ledger::default();
    for number in 1..=3 {
        let fresh = ledger.verdict(Content(100), Some(part(9, 100)));
        assert_eq!(fresh, Verdict::Allowed, "after {} crashes", number - 1);
        let wider = part(9, u128::from(number));
        ledger.note(wide_crash(number.into(), wider, number, 40 - number), NOW);
        // Something was running beside it each time, but not the same.
        let beside = part(8, u128::from(number));
        ledger.note(
            wide_crash(50 + u128::from(number), beside, number, 40 - number),
            NOW,
        );
        ledger.note(wide_completion(60, part(8, 60), 39 - number), NOW);
    }
    let refused = Verdict::Refused(Width::Resource);
    assert_eq!(ledger.verdict(Content(100), Some(part(9, 100))), refused);
    assert_eq!(
        ledger.verdict(Content(100), Some(part(8, 100))),
        Verdict::Allowed
    );
}

/// Guards against a path that is refused for one caller's content, and against one that is refused for
/// what others send to it.
#[test]
fn a_shared_resource_is_not_refused() {
    let fresh = |ledger: &Ledger| ledger.verdict(Content(100), Some(part(9, 100)));
    let one_body: Vec<Report> = (1..=8)
        .map(|number| wide_crash(number.into(), part(9, 1), number, 40 - number))
        .collect();
    assert_eq!(fresh(&ledger(&one_body)), Verdict::Allowed, "one body");

    let several = [1, 2, 3, 4].map(|number| {
        let [first, second] = [10, 20].map(|body| u128::from(number + body));
        let age = 40 - number;
        [
            wide_crash(first, part(9, first), number, age),
            wide_crash(second, part(9, second), number, age),
        ]
    });
    let several = ledger(several.as_flattened());
    assert_eq!(fresh(&several), Verdict::Allowed, "two bodies each time");

    let mut completed = Ledger::default();
    for number in 1..=8 {
        let wider = part(9, number.into());
        completed.note(
            wide_crash(number.into(), wider, number, 40 - 2 * number),
            NOW,
        );
        completed.note(wide_completion(60, part(9, 60), 39 - 2 * number), NOW);
    }
    assert_eq!(
        fresh(&completed),
        Verdict::Allowed,
        "others ran to their end"
    );
}

/// Guards against a busy resource that is refused as it was beside a culprit.
#[test]
fn a_culprit_elsewhere_explains_the_crashes_of_a_resource() {
    let both = [1, 2, 3, 4, 5, 6, 7].map(|number| {
        let age = 40 - number;
        let beside = part(8, number.into());
        let content = 50 + u128::from(number);
        [
            wide_crash(content, beside, number, age),
            wide_crash(1, part(9, 1), number, age),
        ]
    });
    let ledger = ledger(both.as_flattened());
    let culprit = ledger.verdict(Content(1), Some(part(9, 1)));
    assert_eq!(culprit, Verdict::Refused(Width::Exact));
    let innocent = ledger.verdict(Content(100), Some(part(8, 100)));
    assert_eq!(innocent, Verdict::Allowed);
}

/// Guards against VMs that never learn what a content is a part of, as a process of an older release
/// told them of its crash first.
#[test]
fn what_a_content_is_a_part_of_is_told_later() {
    let wider = part(9, 1);
    let mut first = ledger(&[crash(Content(1), 1, 40), crash(Content(1), 2, 40)]);
    let told = first.latest();
    assert!(first.note(wide_crash(1, wider, 1, 40), NOW));
    assert!(!first.note(wide_crash(1, wider, 1, 40), NOW));
    let mut second = Ledger::default();
    let mut through = told;
    while through < first.latest() {
        let changes = first.changes(through, 1, NOW);
        second.note(changes.reports[0], NOW);
        through = changes.through;
    }
    assert_eq!(second.crashes(Content(1)), 2);
    second.note(wide_crash(2, wider, 3, 30), NOW);
    let refused = second.verdict(Content(3), Some(wider));
    assert_eq!(refused, Verdict::Refused(Width::Body));
}

/// Guards against VMs that disagree on a resource, as only one of them saw it run to its end.
#[test]
fn that_a_resource_ran_to_its_end_is_told() {
    let crashes =
        [1, 2, 3].map(|number| wide_crash(number.into(), part(9, number.into()), number, 30));
    let (mut first, mut second) = (ledger(&crashes), ledger(&crashes));
    let told = first.latest();
    assert!(first.note(wide_completion(60, part(9, 60), 10), NOW));
    for report in first.changes(told, 10, NOW).reports {
        second.note(report, NOW);
    }
    let fresh = second.verdict(Content(100), Some(part(9, 100)));
    assert_eq!(fresh, Verdict::Allowed);
}

/// Guards against a request that is refused for crashes that it shares with two culprits, as the later
/// one was found after it.
#[test]
fn a_culprit_of_other_crashes_explains_a_shared_one() {
    let mut ledger = ledger(&[
        crash(OTHER, 1, 90),
        crash(OTHER, 2, 80),
        crash(CULPRIT, 2, 80),
    ]);
    let innocent = ledger.verdict(OTHER, None);
    assert_eq!(innocent, Verdict::Refused(Width::Exact), "not known yet");
    ledger.note(crash(CULPRIT, 3, 70), NOW);
    ledger.note(crash(CULPRIT, 4, 60), NOW);
    assert_eq!(
        ledger.verdict(CULPRIT, None),
        Verdict::Refused(Width::Exact)
    );
    assert_eq!(ledger.verdict(OTHER, None), Verdict::Allowed);
}

/// Guards against a request that is refused before other VMs can tell that something else was there.
#[test]
fn a_refusal_is_settled_once_others_can_have_told() {
    let ledger = ledger(&[crash(OTHER, 1, 130), crash(OTHER, 2, 30)]);
    let left = |now| ledger.unsettled_for(OTHER, None, Width::Exact, now);
    assert_eq!(left(NOW), Millis::new(70));
    assert_eq!(left(NOW.plus(SETTLE_TIME)), Millis::ZERO);
    assert_eq!(
        ledger.unsettled_for(CULPRIT, None, Width::Exact, NOW),
        Millis::ZERO
    );
}

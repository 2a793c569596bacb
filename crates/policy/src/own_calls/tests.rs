use wire::clock::Millis;

use super::Calls;

fn at(millis: u64) -> Millis {
    Millis::new(millis)
}

#[test]
fn only_changes_after_the_report_count() {
    let mut calls = Calls::default();
    calls.record_sent(at(10));
    calls.record_sent(at(20));
    assert_eq!(calls.sent_since_report(), 2);
    calls.record_report(at(15));
    assert_eq!(
        (calls.sent_since_report(), calls.ended_since_report()),
        (1, 0)
    );
    calls.record_ended(at(10), at(30));
    assert_eq!(
        (calls.sent_since_report(), calls.ended_since_report()),
        (1, 1)
    );
    calls.record_ended(at(20), at(31));
    assert_eq!(
        (calls.sent_since_report(), calls.ended_since_report()),
        (0, 1)
    );
    calls.record_report(at(40));
    assert_eq!(
        (calls.sent_since_report(), calls.ended_since_report()),
        (0, 0)
    );
}

#[test]
fn late_and_reordered_reports_change_nothing() {
    let mut calls = Calls::default();
    calls.record_sent(at(10));
    calls.record_report(at(20));
    calls.record_report(at(5));
    assert_eq!(calls.sent_since_report(), 0);
    assert_eq!(calls.in_flight(), 1);
}

use wire::clock::Millis;

use super::Ledger;

fn at(millis: u64) -> Millis {
    Millis::new(millis)
}

#[test]
fn only_what_the_report_cannot_know_is_added() {
    let mut ledger = Ledger::default();
    ledger.send(at(10));
    ledger.send(at(20));
    assert_eq!(ledger.sent(), 2);
    ledger.report(at(15));
    assert_eq!((ledger.sent(), ledger.ended()), (1, 0));
    ledger.end(at(10), at(30));
    assert_eq!((ledger.sent(), ledger.ended()), (1, 1));
    ledger.end(at(20), at(31));
    assert_eq!((ledger.sent(), ledger.ended()), (0, 1));
    ledger.report(at(40));
    assert_eq!((ledger.sent(), ledger.ended()), (0, 0));
}

#[test]
fn late_and_crossed_reports_change_nothing() {
    let mut ledger = Ledger::default();
    ledger.send(at(10));
    ledger.report(at(20));
    ledger.report(at(5));
    assert_eq!(ledger.sent(), 0);
    assert_eq!(ledger.under_way(), 1);
}

use wire::clock::Millis;

use super::Members;
use crate::list::List;
use crate::list::Member;

const NOW: Millis = Millis::new(50_000);

fn list(vms: &[&str]) -> List {
    let member = |vm: &&str| Member {
        vm: (*vm).to_owned(),
        centre: vm[..1].to_owned(),
        address: ([127, 0, 0, 1], 80).into(),
        disk: 1,
    };
    vms.iter()
        .fold(List::default(), |list, vm| list.with(&member(vm)))
}

/// A data centre with all of its members is cut off for some seconds. The members stay on the list:
/// each one that is removed and comes back makes all members catch up while callers wait.
#[test]
fn a_data_centre_that_is_cut_off_stays_on_the_list() {
    let mut unresponsive = Members::default();
    let six = list(&["a1", "a2", "b1", "b2", "c1", "c2"]);
    unresponsive.record_answers(&six, &["a1", "a2", "c1", "c2"], NOW);
    assert_eq!(
        unresponsive.to_evict(&six, NOW.plus(Millis::new(8_000))),
        None
    );
    let one_back = NOW.plus(Millis::new(8_000));
    unresponsive.record_answers(&six, &["a1", "a2", "b1", "c1", "c2"], one_back);
    assert_eq!(unresponsive.to_evict(&six, one_back), Some("b2"));
    unresponsive.record_answers(&six, &["a1", "a2", "c1", "c2"], NOW);
    let long = NOW.plus(Millis::new(40_000));
    assert_eq!(unresponsive.to_evict(&six, long), Some("b2"));
}

/// A member is gone for good and is removed from the list. If it were still tracked as
/// unresponsive, the list would change again every few hundred milliseconds, and callers would wait
/// endlessly for members that catch up.
#[test]
fn an_evicted_member_is_not_evicted_again() {
    let mut unresponsive = Members::default();
    let four = list(&["a", "b", "c", "d"]);
    unresponsive.record_answers(&four, &["a", "b", "c"], NOW);
    let later = NOW.plus(Millis::new(3_000));
    unresponsive.record_answers(&four, &["a", "b", "c"], later);
    assert_eq!(unresponsive.to_evict(&four, later), Some("d"));
    let three = four.without("d");
    unresponsive.record_answers(&three, &["a", "b", "c"], later);
    assert_eq!(unresponsive.to_evict(&three, later), None);
}

#[test]
fn a_restarting_member_is_not_evicted() {
    let mut unresponsive = Members::default();
    let four = list(&["a", "b", "c", "d"]);
    unresponsive.record_answers(&four, &["a", "b", "c"], NOW);
    let later = NOW.plus(Millis::new(2_900));
    assert_eq!(unresponsive.to_evict(&four, later), None);
    unresponsive.record_answers(&four, &["a", "b", "c", "d"], later);
    let last = NOW.plus(Millis::new(9_000));
    assert_eq!(unresponsive.to_evict(&four, last), None);
}

/// Guards against a member of a list of two that is removed sooner than one of another list: what is written without it
/// is on one disk only.
#[test]
fn one_of_two_members_is_not_evicted_sooner() {
    let mut unresponsive = Members::default();
    let two = list(&["a", "b"]);
    unresponsive.record_answers(&two, &["a"], NOW);
    assert_eq!(
        unresponsive.to_evict(&two, NOW.plus(Millis::new(2_900))),
        None
    );
    let later = NOW.plus(Millis::new(3_000));
    assert_eq!(unresponsive.to_evict(&two, later), Some("b"));
}

use policy::quota::Contact;
use wire::clock::Millis;

use super::Fleet;
use super::Hearing;
use super::Now;
use crate::tally::Origin;
use crate::usage::report::AllHeard;
use crate::usage::report::Report;

const START: Millis = Millis::new(100_000);
const MEMORY: Millis = Millis::new(10_000);

fn at(millis: u64) -> Millis {
    START.plus(Millis::new(millis))
}

fn hearing() -> Hearing {
    Hearing::new(MEMORY, START)
}

/// Returns a report of some VMs, of which some are heard, and the time at which all were.
fn report(heard: u32, vms: u32, all_heard_ms: u64) -> Report {
    let all_heard = AllHeard {
        at: at(all_heard_ms).as_u64(),
        vms: 5,
    };
    Report {
        at: at(all_heard_ms).as_u64(),
        heard,
        vms,
        all_heard: Some(all_heard),
        ..Report::default()
    }
}

/// Returns the report of a VM that doesn't know when all were heard.
fn unaware() -> Report {
    Report {
        heard: 1,
        vms: 1,
        ..Report::default()
    }
}

fn vm(name: &str) -> Origin {
    Origin::Vm(name.to_owned())
}

const fn partial(then: u32, heard: u32, vms: u32) -> Contact {
    Contact::Partial { then, heard, vms }
}

/// Returns the contact, and the time at which all were heard in place of what had been admitted by then.
fn contact(hearing: &mut Hearing, known: u32, millis: u64) -> Contact {
    let fleet = Fleet {
        vms: known,
        centre_vms: 2,
        centres: 2,
        lag: Millis::new(200),
    };
    let since_start = |at: Millis| u32::try_from(at.since(START).as_u64()).unwrap();
    let now = Now {
        own: at(millis),
        common: at(millis),
    };
    hearing.contact(fleet, since_start, now)
}

/// When all VMs start, the directory is empty. Each of them would have the whole limit for itself.
#[test]
fn a_vm_that_has_just_started_does_not_count_as_the_only_one() {
    let mut hearing = hearing();
    assert_eq!(contact(&mut hearing, 1, 100), Contact::None);
    assert_eq!(contact(&mut hearing, 4, 400), Contact::None);
    assert_eq!(contact(&mut hearing, 1, 600), Contact::Kept);
}

#[test]
fn a_vm_that_hears_all_keeps_contact() {
    let mut hearing = hearing();
    hearing.note(&vm("x"), &report(1, 1, 0), at(50));
    hearing.note(&Origin::Centre("b".to_owned()), &report(3, 3, 0), at(60));
    assert_eq!(contact(&mut hearing, 5, 100), Contact::Kept);
}

/// A data centre that is cut off would have the whole limit for itself, as its VMs hear each other.
#[test]
fn a_silent_data_centre_is_missing() {
    let mut hearing = hearing();
    hearing.note(&Origin::Centre("b".to_owned()), &report(3, 3, 0), at(60));
    hearing.note(&vm("x"), &report(1, 1, 0), at(60));
    assert_eq!(contact(&mut hearing, 5, 400), Contact::Kept);
    hearing.note(&vm("x"), &report(1, 1, 400), at(2_000));
    let partial = partial(400, 2, 5);
    assert_eq!(contact(&mut hearing, 5, 2_100), partial);
}

/// A leaf hears its hub only, which tells how many others it hears.
#[test]
fn a_hub_tells_its_leaves_which_vms_are_missing() {
    let mut hearing = hearing();
    hearing.note(&Origin::Others, &report(2, 4, 300), at(1_000));
    let partial = partial(300, 3, 5);
    assert_eq!(contact(&mut hearing, 2, 1_000), partial);
}

#[test]
fn a_vm_that_hears_nobody_any_more_is_the_only_one_heard() {
    let mut hearing = hearing();
    hearing.note(&Origin::Others, &report(4, 4, 1_000), at(1_000));
    assert_eq!(contact(&mut hearing, 2, 1_100), Contact::Kept);
    let partial = partial(1_000, 1, 5);
    assert_eq!(contact(&mut hearing, 2, 3_000), partial);
}

/// The hub of a data centre that is cut off is killed. The next one has never heard the other data centres, and
/// would take their part of the limit, too.
#[test]
fn a_hub_that_starts_in_a_cut_learns_how_many_vms_there_are() {
    let mut hearing = hearing();
    hearing.note(&vm("x"), &report(1, 1, 200), at(1_000));
    let partial = partial(200, 2, 5);
    assert_eq!(contact(&mut hearing, 3, 1_000), partial);
}

/// A cut between data centres lasts for minutes, and the directory still lists the others. Each side would have the
/// whole limit once the others were forgotten.
#[test]
fn a_data_centre_that_is_listed_counts_through_a_long_cut() {
    let mut hearing = hearing();
    hearing.note(&Origin::Centre("b".to_owned()), &report(3, 3, 60), at(60));
    hearing.note(&vm("x"), &report(1, 1, 60), at(100_000));
    let partial = partial(60, 2, 5);
    assert_eq!(contact(&mut hearing, 5, 100_000), partial);
}

/// The other VM was removed for good and its entry has lapsed. The last one would be left with half of each limit.
#[test]
fn the_last_vm_gets_the_whole_limit() {
    let mut hearing = hearing();
    hearing.note(&vm("x"), &report(1, 1, 60), at(60));
    let is_partial = |contact| matches!(contact, Contact::Partial { .. });
    assert!(is_partial(contact(&mut hearing, 2, 10_000)));
    assert_eq!(contact(&mut hearing, 1, 40_000), Contact::Kept);
}

/// All VMs restart and are cut off from each other within a second. Each would go on with the part of those that it
/// had heard by then, of a limit that was used up before.
#[test]
fn vms_that_have_all_just_started_hear_all_before_they_share_a_limit() {
    let mut hearing = hearing();
    hearing.note(&vm("x"), &unaware(), at(50));
    assert_eq!(contact(&mut hearing, 5, 100), Contact::None);
    assert_eq!(contact(&mut hearing, 2, 200), Contact::None);
    assert_eq!(contact(&mut hearing, 3, 300), Contact::None);
    hearing.note(&vm("y"), &unaware(), at(350));
    assert_eq!(contact(&mut hearing, 3, 400), Contact::None);
    assert_eq!(contact(&mut hearing, 3, 600), Contact::Kept);
}

/// One of the VMs that restarted doesn't come back. The others would admit nothing until its entry has lapsed.
#[test]
fn a_vm_that_stays_away_does_not_keep_the_others_from_their_part() {
    let mut hearing = hearing();
    hearing.note(&vm("x"), &unaware(), at(1_900));
    assert_eq!(contact(&mut hearing, 3, 1_999), Contact::None);
    assert_eq!(contact(&mut hearing, 3, 2_000), partial(0, 2, 3));
}

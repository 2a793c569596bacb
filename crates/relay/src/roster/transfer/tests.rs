use super::MAX_ENTRIES;
use super::Part;
use super::Transfer;
use crate::roster::Change;
use crate::roster::Roster;

fn roster(runners: usize) -> Roster {
    let mut roster = Roster::default();
    for number in 0..runners {
        let id = format!("i-{number:05}");
        roster.set(&id, b"ready", 1 + number as u64, Change::Significant);
    }
    roster
}

/// Asks for parts until the entries are complete; `change` changes the sender's entries after each.
fn transfer(sender: &mut Roster, mut change: impl FnMut(&mut Roster, usize)) -> Roster {
    let mut under_way = None;
    for number in 0.. {
        let transfer: Option<&Transfer> = under_way.as_ref();
        let cursor = transfer.and_then(|transfer| transfer.cursor("hub"));
        let part = Part::of(sender, cursor);
        assert!(part.entries.len() <= MAX_ENTRIES);
        if let Some(complete) = Transfer::add(&mut under_way, "hub", part) {
            return complete;
        }
        change(sender, number);
    }
    unreachable!("a part is the last one")
}

#[test]
fn parts_add_up_to_all_entries() {
    let mut sender = roster(3_000);
    let received = transfer(&mut sender, |_, _| {});
    assert_eq!(received.entries, sender.entries);
    assert_eq!(received.revision, sender.revision);
}

/// Runners come and go while their entries are transferred. The changes must reach the recipient
/// although some of them concern entries that it got before.
#[test]
fn changes_meanwhile_follow_as_a_delta() {
    let mut sender = roster(1_000);
    let received = transfer(&mut sender, |sender, number| {
        let revision = 5_000 + number as u64;
        sender.remove(&format!("i-{number:05}"), revision);
        let last = format!("i-{:05}", 999 - number);
        sender.set(&last, b"draining", revision, Change::Significant);
    });
    let mut recipient = Roster::default();
    recipient.replace(received);
    let delta = sender.delta(recipient.revision).unwrap();
    assert!(recipient.apply(&delta));
    assert_eq!(recipient.entries, sender.entries);
}

/// The hub is killed in the middle, and another one sends its entries from the start. Entries of both
/// must not be mixed: those in between would be missing.
#[test]
fn a_transfer_from_another_vm_starts_again() {
    let sender = roster(1_000);
    let mut under_way = None;
    let first = Part::of(&sender, None);
    assert_eq!(Transfer::add(&mut under_way, "hub", first.clone()), None);
    let stray = Part::of(&sender, Some("i-00700"));
    assert_eq!(Transfer::add(&mut under_way, "other", stray), None);
    let transfer = under_way.as_ref().unwrap();
    assert_eq!(transfer.cursor("other"), None);
    assert_eq!(transfer.cursor("hub"), Some("i-00255"));
    assert_eq!(Transfer::add(&mut under_way, "other", first), None);
    assert_eq!(under_way.unwrap().cursor("other"), Some("i-00255"));
}

use super::Change;
use super::Roster;

#[test]
fn heartbeats_keep_the_revision() {
    let mut roster = Roster::default();
    roster.set("i-2", b"ready", 5, Change::Significant);
    roster.set("i-1", b"ready", 6, Change::Significant);
    roster.set("i-2", b"ready, seq 2", 9, Change::Heartbeat);
    assert_eq!(roster.revision, 6);
    let ids: Vec<&str> = roster.entries.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["i-1", "i-2"]);
    roster.remove("i-1", 12);
    assert_eq!((roster.revision, roster.entries.len()), (12, 1));
    roster.remove("i-1", 14);
    assert_eq!(roster.revision, 12);
}

#[test]
fn only_listed_entries_are_kept() {
    let mut roster = Roster::default();
    roster.set("i-1", b"ready", 5, Change::Significant);
    roster.set("i-2", b"ready", 6, Change::Significant);
    roster.retain_listed(&["i-1".to_owned(), "i-2".to_owned()], 8);
    assert_eq!(roster.revision, 6);
    roster.retain_listed(&["i-2".to_owned(), "i-3".to_owned()], 9);
    let ids: Vec<&str> = roster.entries.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!((roster.revision, ids), (9, vec!["i-2"]));
}

/// An entry lapsed in an outage of the service, and the VM that reads for all went on using the
/// runner. If the entry's return weren't news, the other VMs would drop the runner for good.
#[test]
fn returning_entry_is_news() {
    let mut roster = Roster::default();
    roster.set("i-1", b"ready", 5, Change::Significant);
    roster.retain_listed(&[], 7);
    roster.set("i-1", b"ready", 9, Change::Heartbeat);
    assert_eq!(roster.revision, 9);
}

/// Applies the changes since the revision of `behind` to it.
fn catch_up(behind: &mut Roster, ahead: &Roster) {
    let delta = ahead.delta(behind.revision).expect("the changes are known");
    assert!(behind.apply(&delta));
    assert_eq!(behind.revision, ahead.revision);
    assert_eq!(behind.entries, ahead.entries);
}

fn ids(roster: &Roster) -> Vec<String> {
    roster.entries.iter().map(|(id, _)| id.clone()).collect()
}

fn many() -> Roster {
    let mut roster = Roster::default();
    for number in 10..40 {
        roster.set(
            &format!("i-{number}"),
            b"ready",
            number,
            Change::Significant,
        );
    }
    roster
}

#[test]
fn changes_alone_lead_to_the_same_entries() {
    let mut ahead = many();
    let mut behind = ahead.clone();
    ahead.set("i-12", b"draining", 50, Change::Significant);
    ahead.set("i-99", b"ready", 51, Change::Significant);
    ahead.remove("i-30", 52);
    catch_up(&mut behind, &ahead);
    ahead.set("i-30", b"ready again", 53, Change::Significant);
    ahead.remove("i-99", 54);
    catch_up(&mut behind, &ahead);
    // What was received as a delta is passed on as one, from either of its ends.
    let mut third = many();
    catch_up(&mut third, &behind);
}

/// A VM that learnt of two revisions alone doesn't know what was there for a while between them. A VM
/// that has it would keep it for good.
#[test]
fn what_is_between_two_known_revisions_is_no_base_for_changes() {
    let mut ahead = many();
    let mut behind = ahead.clone();
    let mut between = ahead.clone();
    for roster in [&mut ahead, &mut between] {
        roster.set("i-99", b"ready", 50, Change::Significant);
    }
    ahead.remove("i-99", 51);
    ahead.remove("i-30", 52);
    catch_up(&mut behind, &ahead);
    assert_eq!(behind.delta(between.revision), None);
    catch_up(&mut between, &ahead);
    let mut listed = many();
    listed.retain_listed(&ids(&ahead), 52);
    listed.note_listed(39, 60);
    assert_eq!(listed.delta(50), None);
    assert!(listed.delta(39).is_some());
}

/// The log of gaps is bounded: what was before the oldest one that is remembered is no base.
#[test]
fn forgotten_gaps_are_no_base_for_changes() {
    let mut roster = many();
    for revision in 40..50 + super::MAX_GAPS as u64 {
        roster.note_listed(revision - 1, revision);
    }
    assert_eq!(roster.delta(45), None);
    assert!(roster.delta(roster.revision - 5).is_some());
}

/// A VM that restarted between two revisions knows nothing of what was removed before. Sending it
/// changes alone would leave it with runners that are gone.
#[test]
fn what_was_received_whole_is_no_base_for_older_changes() {
    let mut received = Roster::default();
    received.replace(many());
    assert_eq!(received.delta(20), None);
    received.remove("i-12", 60);
    let delta = received.delta(39).unwrap();
    assert_eq!(delta.removed, ["i-12"]);
}

/// The recipient has other entries than the sender thought. Applying the changes would skip those in
/// between.
#[test]
fn changes_from_a_later_revision_are_not_applied() {
    let mut ahead = many();
    ahead.remove("i-12", 50);
    let mut behind = many();
    behind.revision = 20;
    let delta = ahead.delta(39).unwrap();
    assert!(!behind.apply(&delta));
    assert_eq!(behind.entries.len(), 30);
}

/// More changes than are remembered: all entries have to be sent.
#[test]
fn forgotten_changes_are_no_delta() {
    let mut roster = many();
    for revision in 100..100 + 2 * super::MAX_LOGGED as u64 {
        roster.set("i-12", b"ready", revision, Change::Significant);
    }
    assert_eq!(roster.delta(99), None);
    assert!(roster.delta(roster.revision - 5).is_some());
}

use std::collections::BTreeSet;

use rstest::rstest;
use wire::clock::Millis;

use super::Claim;
use super::Directory;
use super::Entry;
use super::SLOTS;
use super::claim_delay;
use super::decode;
use super::encode;
use crate::subject;

fn entry(centre: &str, slot: usize, vm: &str, revision: u64) -> Entry {
    Entry {
        key: subject::directory_key(centre, slot),
        revision,
        vm: vm.to_owned(),
        centre: centre.to_owned(),
        address: ([127, 0, 0, 1], 7000).into(),
        capacity: 90,
    }
}

fn full() -> Directory {
    let mut directory = Directory::default();
    for slot in 0..SLOTS {
        directory.set(entry("a", slot, &format!("vm-{slot}"), 5));
    }
    directory
}

#[test]
fn entry_survives_encoding() {
    let entry = entry("a", 3, "vm-7", 5);
    let item = platform::edge::Entry {
        key: entry.key.clone(),
        value: encode(&entry),
        revision: 5,
    };
    assert_eq!(decode(&item), Some(entry));
}

/// Another writer's bytes under the directory's keys must not stop a VM from finding the others.
#[rstest]
#[case::no_slot("chestnutyoke/directory/a", "vm 127.0.0.1:7000 90")]
#[case::other_key("chestnutyoke/members", "vm 127.0.0.1:7000 90")]
#[case::no_capacity("chestnutyoke/directory/a/1", "vm 127.0.0.1:7000")]
#[case::no_address("chestnutyoke/directory/a/1", "vm somewhere 90")]
fn other_values_are_no_entries(#[case] key: &str, #[case] value: &str) {
    let item = platform::edge::Entry {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        revision: 5,
    };
    assert_eq!(decode(&item), None);
}

#[test]
fn free_slot_is_claimed_only_if_absent() {
    let mut directory = full();
    assert_eq!(directory.claim("new", "a"), Claim::Full);
    let key = subject::directory_key("a", 2);
    directory.remove(&key, 9);
    let expected = Claim::Write { key, revision: 0 };
    assert_eq!(directory.claim("new", "a"), expected);
}

/// A VM restarts within the time of its lease. If it claimed another slot, one VM would have two
/// entries, and the first would keep another VM out.
#[test]
fn restarted_vm_claims_its_own_slot() {
    let expected = Claim::Write {
        key: subject::directory_key("a", 4),
        revision: 5,
    };
    assert_eq!(full().claim("vm-4", "a"), expected);
}

/// A copy of the service's entries is seconds old. If it replaced newer ones, VMs that are gone
/// would be asked again.
#[test]
fn older_directory_is_not_adopted() {
    let mut directory = full();
    directory.raise_revision(8);
    directory.remove(&subject::directory_key("a", 0), 9);
    directory.raise_revision(9);
    let mut older = full();
    older.raise_revision(8);
    directory.adopt(older);
    assert!(!directory.lists("vm-0"));
}

/// A VM has written its entry and then gets a directory from before. If its entry were dropped, it
/// would write it again and again.
#[test]
fn entry_newer_than_an_adopted_directory_stays() {
    let mut directory = Directory::default();
    directory.set(entry("a", 0, "new", 12));
    let mut other = Directory::default();
    other.set(entry("a", 1, "vm-1", 5));
    other.raise_revision(10);
    directory.adopt(other);
    assert!(directory.lists("new") && directory.lists("vm-1"));
}

/// If all VMs that start at once claimed at the same time, the slots would go to the many small
/// ones, and most would write in vain.
#[test]
fn larger_vms_claim_first() {
    let delays = |capacity: u64| (0..20).map(move |vm| claim_delay(&format!("vm-{vm}"), capacity));
    assert!(delays(500).max() < delays(90).min());
    let same_size: BTreeSet<_> = delays(300).collect();
    assert!(same_size.len() > 10, "{same_size:?}");
    assert!(claim_delay("vm", 0) <= Millis::new(400));
}

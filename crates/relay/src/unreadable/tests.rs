use super::MAX_KEYS;
use super::Unreadable;

/// Guards against a log that one entry fills, as it is written again with each heartbeat.
#[test]
fn an_entry_is_logged_once_until_it_is_readable_or_gone() {
    let mut unreadable = Unreadable::default();
    assert!(unreadable.note("b") && unreadable.note("a"));
    assert!(!unreadable.note("a") && !unreadable.note("b"));
    unreadable.forget("a");
    assert!(unreadable.note("a") && !unreadable.note("b"));
    unreadable.retain(|key| key == "a");
    assert!(unreadable.note("b") && !unreadable.note("a"));
}

/// Guards against memory that grows with each new key of another writer.
#[test]
fn few_entries_are_remembered() {
    let mut unreadable = Unreadable::default();
    let logged = (0..10 * MAX_KEYS).filter(|number| unreadable.note(&number.to_string()));
    assert_eq!(logged.count(), MAX_KEYS);
}

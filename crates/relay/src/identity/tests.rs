use adapter::config::Workspace;
use adapter::key::Credential;
use adapter::key::Digest;
use rstest::rstest;
use wire::clock::Millis;
use wire::code::Code;

use super::Access;
use super::Freshness;
use super::Identity;
use super::identify;
use crate::peers::Others;
use crate::workspace::Index;

const BOUND: Millis = Millis::new(5_000);

fn index(keys: &[&str], previous: Option<&Index>) -> Index {
    let workspace = Workspace {
        name: "one".to_owned(),
        keys: keys.iter().map(|key| Digest::of(key)).collect(),
        priority: None,
        limit: None,
    };
    Index::new(vec![workspace], previous)
}

fn aged(millis: Option<u64>) -> Freshness {
    Freshness {
        age: millis.map(Millis::new),
        max_accept: Some(BOUND),
        max_reject: Millis::new(1_800),
        others: Others::Heard,
    }
}

fn key(key: &str) -> Credential {
    Credential::Key(Digest::of(key))
}

#[rstest]
#[case::held_key(key("a"), 0, None)]
#[case::held_key_of_an_older_configuration(key("a"), 4_950, None)]
#[case::nearly_too_old(key("a"), 4_951, Some(Code::StaleConfiguration))]
#[case::unknown_key(key("c"), 1_800, Some(Code::UnknownKey))]
#[case::key_that_may_be_new(key("c"), 1_801, Some(Code::StaleConfiguration))]
#[case::revoked_key(key("b"), 1_800, Some(Code::RevokedKey))]
#[case::key_that_may_be_back(key("b"), 1_801, Some(Code::StaleConfiguration))]
#[case::no_key(Credential::Missing, 0, Some(Code::UnknownKey))]
#[case::malformed(Credential::Malformed, 0, Some(Code::UnknownKey))]
fn a_key_is_checked(#[case] credential: Credential, #[case] age: u64, #[case] code: Option<Code>) {
    let before = index(&["a", "b"], None);
    let index = index(&["a"], Some(&before));
    let identified = identify(Some(&index), Access::Keyed, credential, aged(Some(age)));
    assert_eq!(identified.err().map(|refusal| refusal.code), code);
}

/// A process has just started. Its configuration came from another VM that can't tell how old it
/// is, and a key in it may have been taken away long ago.
#[test]
fn no_key_holds_without_any_proof() {
    let index = index(&["a"], None);
    let refusal = identify(Some(&index), Access::Keyed, key("a"), aged(None)).unwrap_err();
    assert_eq!(refusal.code, Code::StaleConfiguration);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_public_route_needs_no_key() {
    let index = index(&["a"], None);
    let identified = identify(
        Some(&index),
        Access::Public,
        Credential::Missing,
        aged(None),
    );
    assert_eq!(identified.unwrap(), Identity::Public);
}

#[test]
fn nothing_is_asked_where_there_are_no_workspaces() {
    let identified = identify(None, Access::Keyed, key("c"), aged(None));
    assert_eq!(identified.unwrap(), Identity::Unmanaged);
}

/// The same turn id of two workspaces must not name the same turn: the history of one would be read
/// to the other.
#[test]
fn workspaces_have_turns_of_their_own() {
    let index = index(&["a"], None);
    let one = identify(Some(&index), Access::Keyed, key("a"), aged(Some(0))).unwrap();
    assert_ne!(one.key_of("t1"), Identity::Unmanaged.key_of("t1"));
    assert_eq!(one.key_of("t1"), one.key_of("t1"));
}

/// The service is away for some seconds longer than keys are accepted. A caller has two tries for each
/// of three sends of a turn; if they were over before the service is back, its program would fail.
#[test]
fn an_outage_is_bridged_by_a_callers_tries() {
    let index = index(&["a"], None);
    let refusal = identify(Some(&index), Access::Keyed, key("a"), aged(Some(5_000))).unwrap_err();
    let pause = refusal.retry_after.unwrap();
    let sends = 3;
    let bridged = pause.as_u64() * sends;
    assert!(bridged >= 2_500, "{bridged}");
    // A third of a deadline of three seconds.
    assert!(pause <= Millis::new(1_000));
}

/// A VM is cut off alone. A caller that comes back soon reaches another VM.
#[test]
fn a_vm_that_is_alone_sends_callers_elsewhere_soon() {
    let index = index(&["a"], None);
    let freshness = Freshness {
        others: Others::Silent,
        ..aged(Some(5_000))
    };
    let refusal = identify(Some(&index), Access::Keyed, key("a"), freshness).unwrap_err();
    assert!(refusal.retry_after.unwrap() <= Millis::new(300));
}

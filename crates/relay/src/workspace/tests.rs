use adapter::config::Workspace;
use adapter::key::Digest;

use super::Index;
use super::Lookup;

fn index(holders: &[(&str, &[&str])], previous: Option<&Index>) -> Index {
    let workspaces = holders.iter().map(|(name, keys)| Workspace {
        name: (*name).to_owned(),
        keys: keys.iter().map(|key| Digest::of(key)).collect(),
        priority: None,
        limit: None,
    });
    Index::new(workspaces.collect(), previous)
}

fn holder(index: &Index, key: &str) -> Option<String> {
    match index.lookup(Digest::of(key)) {
        Lookup::Held(workspace) => Some(workspace.name.clone()),
        Lookup::Revoked | Lookup::Unknown => None,
    }
}

#[test]
fn each_key_is_that_of_its_workspace() {
    let index = index(&[("one", &["a", "b"]), ("two", &["c"])], None);
    assert_eq!(holder(&index, "b").as_deref(), Some("one"));
    assert_eq!(holder(&index, "c").as_deref(), Some("two"));
    assert_eq!(index.lookup(Digest::of("d")), Lookup::Unknown);
}

/// An operator who looks for the reason of a refusal has to see that the key was taken away, also
/// some versions later.
#[test]
fn a_key_that_was_taken_away_is_remembered() {
    let first = index(&[("one", &["a", "b"])], None);
    let second = index(&[("one", &["b"])], Some(&first));
    let third = index(&[("one", &["b"])], Some(&second));
    assert_eq!(third.lookup(Digest::of("a")), Lookup::Revoked);
    let again = index(&[("two", &["a"])], Some(&third));
    assert_eq!(holder(&again, "a").as_deref(), Some("two"));
}

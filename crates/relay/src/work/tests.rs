use std::sync::Arc;

use super::Kind;
use super::Registry;

fn requests(registry: &Registry) -> Vec<String> {
    let entries = registry.entries().into_iter();
    entries.map(|entry| entry.request).collect()
}

#[test]
fn an_entry_lasts_until_its_guard_is_dropped() {
    let registry = Arc::new(Registry::default());
    let first = registry.begin(Kind::Answer, "a");
    let second = registry.begin(Kind::Settlement, "b");
    let third = registry.begin(Kind::Answer, "a");
    assert_eq!(requests(&registry), ["a", "b", "a"]);
    drop(second);
    drop(first);
    assert_eq!(requests(&registry), ["a"]);
    drop(third);
    assert_eq!(registry.count(), 0);
}

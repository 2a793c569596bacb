use std::sync::Arc;

use super::Kind;
use super::Register;

fn requests(register: &Register) -> Vec<String> {
    let entries = register.entries().into_iter();
    entries.map(|entry| entry.request).collect()
}

#[test]
fn an_entry_lasts_until_its_guard_is_dropped() {
    let register = Arc::new(Register::default());
    let first = register.begin(Kind::Answer, "a");
    let second = register.begin(Kind::Settlement, "b");
    let third = register.begin(Kind::Answer, "a");
    assert_eq!(requests(&register), ["a", "b", "a"]);
    drop(second);
    drop(first);
    assert_eq!(requests(&register), ["a"]);
    drop(third);
    assert_eq!(register.count(), 0);
}

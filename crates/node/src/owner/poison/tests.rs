use super::*;

#[test]
fn the_oldest_content_is_dropped_first() {
    let poison = Poison::default();
    let count = MAX_CONTENTS as u64 + 1;
    for n in 0..count {
        // Contents descend while times ascend, so that the two orders differ.
        poison.add(id::Digest(count - n), Millis::new(n));
    }
    assert!(!poison.contains(id::Digest(count)));
    assert!(poison.contains(id::Digest(count - 1)));
    assert!(poison.contains(id::Digest(1)));
}

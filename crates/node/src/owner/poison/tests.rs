use super::*;

#[test]
fn the_oldest_go_first() {
    let poison = Poison::default();
    let count = KEPT as u64 + 1;
    for n in 0..count {
        // Downwards, so that the order of contents isn't that of their times.
        poison.add(id::Digest(count - n), Millis::new(n));
    }
    assert!(!poison.knows(id::Digest(count)));
    assert!(poison.knows(id::Digest(count - 1)));
    assert!(poison.knows(id::Digest(1)));
}

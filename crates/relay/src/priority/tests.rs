use super::of;

/// The load: more programs than the engines carry. A program under way waits for no new one of its
/// own rank, and no new one of a higher rank waits for it.
#[test]
fn programs_under_way_go_before_new_ones_of_their_rank() {
    assert!(of(0, false) < of(0, true));
    assert!(of(0, true) < of(1, false));
    assert!(of(1, true) < of(2, false));
    assert_eq!(of(3, true), of(200, true));
    assert!((0..=255).all(|rank| of(rank, true) <= 9 && of(rank, false) >= 1));
}

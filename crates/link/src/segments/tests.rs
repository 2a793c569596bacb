use super::SEGMENT_BYTES;
use super::Segments;

/// Guards against bytes that are lost, doubled or out of order where a segment ends.
#[test]
fn segments_join_to_what_was_added() {
    for piece in [1, 1_000, SEGMENT_BYTES, 3 * SEGMENT_BYTES + 1] {
        let mut segments = Segments::default();
        let mut expected = Vec::new();
        for number in 0..20_u8 {
            let bytes = vec![number; piece];
            segments.extend(&bytes);
            expected.extend(bytes);
            assert_eq!(segments.len(), expected.len());
        }
        assert_eq!(segments.join(), expected);
    }
    assert!(Segments::default().join().is_empty());
}

/// Guards against bytes that take far more memory than they are.
#[test]
fn segments_take_little_more_than_their_bytes() {
    let mut segments = Segments::default();
    for _ in 0..3_000 {
        segments.extend(&[b'x'; 100]);
        assert!(segments.memory() <= segments.len() + SEGMENT_BYTES);
    }
}

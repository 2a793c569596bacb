use hyper::HeaderMap;

use super::*;

const MARKS: Marks = Marks::Repeated(unread);

fn unread(_headers: &HeaderMap) -> Option<&[u8]> {
    None
}

fn trail() -> Trail {
    Trail::new(SocketAddr::from(([127, 0, 0, 1], 1)), 2)
}

/// Guards against a second answer that is taken for the answer to a request without a mark.
#[test]
fn a_request_without_a_mark_is_the_first_on_its_connection() {
    let mut trail = trail();
    assert!(trail.may_carry(MARKS, None));
    trail.note_request(Some(b"a"));
    assert!(!trail.may_carry(MARKS, None));
    assert!(trail.may_carry(Marks::Unused, None));
}

/// Guards against a second answer to an earlier attempt that is taken for the answer to the next one.
#[test]
fn a_request_is_not_sent_again_on_its_connection() {
    let mut trail = trail();
    trail.note_request(Some(b"b"));
    trail.note_request(Some(b"a"));
    assert!(!trail.may_carry(MARKS, Some(b"a")) && !trail.may_carry(MARKS, Some(b"b")));
    assert!(trail.may_carry(MARKS, Some(b"c")));
}

/// Guards against a memory of marks that grows as long as a connection is used.
#[test]
fn a_connection_carries_a_bounded_number_of_marks() {
    let mut trail = trail();
    for number in 0..MAX_MARKS {
        assert!(!trail.is_full());
        trail.note_request(Some(&number.to_le_bytes()));
    }
    assert!(trail.is_full());
}

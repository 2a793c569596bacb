use super::Reader;

#[test]
fn only_complete_events_are_returned() {
    let mut reader = Reader::default();
    reader.push(b"id: 1\ndata: ab").unwrap();
    assert_eq!(reader.pop(), None);
    assert!(reader.has_partial_event());
    reader.push(b"c\n\nid: 2\ndata: d\n\n").unwrap();
    let first = reader.pop().unwrap();
    assert_eq!((first.id, &first.data[..]), (Some(1), &b"abc"[..]));
    assert_eq!(&first.bytes[..], b"id: 1\ndata: abc\n\n");
    let second = reader.pop().unwrap();
    assert_eq!((second.id, &second.data[..]), (Some(2), &b"d"[..]));
    assert_eq!(reader.pop(), None);
    assert!(!reader.has_partial_event());
}

#[test]
fn data_lines_of_one_event_are_joined() {
    let mut reader = Reader::default();
    reader.push(b"data: a\r\ndata: b\r\n\r\n").unwrap();
    assert_eq!(&reader.pop().unwrap().data[..], b"a\nb");
}

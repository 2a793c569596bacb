use super::event_number;

#[test]
fn the_event_number_is_read_in_both_line_formats() {
    assert_eq!(
        event_number(b"event=E1201 text=\"call placed\" request=r\n"),
        1201
    );
    assert_eq!(event_number(b"E1201 call placed program=p\n"), 1201);
    for text in [
        &b"text=\"disk opened\" disk=1\n"[..],
        b"Else\n",
        b"E12\n",
        b"",
    ] {
        assert_eq!(event_number(text), 0);
    }
}

use super::event;

#[test]
fn a_lines_event_is_read_in_both_doors_forms() {
    assert_eq!(event(b"event=E1201 text=\"call placed\" request=r\n"), 1201);
    assert_eq!(event(b"E1201 call placed program=p\n"), 1201);
    for text in [
        &b"text=\"disk opened\" disk=1\n"[..],
        b"Else\n",
        b"E12\n",
        b"",
    ] {
        assert_eq!(event(text), 0);
    }
}

use super::*;

#[test]
fn events_split_at_any_byte_are_reassembled() {
    let wire = b": hello\ndata: {\"a\":1}\r\n\ndata: [DONE]\n\n";
    for cut in 0..wire.len() {
        let mut events = Events::default();
        let mut seen = Vec::new();
        for part in [&wire[..cut], &wire[cut..]] {
            events.push(part).unwrap();
            while let Some(data) = events.pop() {
                seen.push(data);
            }
        }
        assert_eq!(seen, [&b"{\"a\":1}"[..], b"[DONE]"], "cut at {cut}");
    }
}

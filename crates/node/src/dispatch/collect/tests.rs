use serde_json::json;

use super::*;

#[test]
fn text_and_tool_calls_are_assembled() {
    let mut partial = Partial::default();
    for delta in [
        json!({"role": "assistant", "content": "He"}),
        json!({"content": "llo"}),
        json!({"tool_calls": [{"index": 0, "id": "t", "function": {"name": "f", "arguments": "{\"a"}}]}),
        json!({"tool_calls": [{"index": 0, "function": {"arguments": "\":1}"}}]}),
    ] {
        partial.add(&delta);
    }
    let message = partial.message();
    assert_eq!(message.content, json!("Hello"));
    let calls = json!([{"id": "t", "function": {"name": "f", "arguments": "{\"a\":1}"}}]);
    assert_eq!(message.rest["tool_calls"], calls);
    assert!(!partial.can_resume());
}

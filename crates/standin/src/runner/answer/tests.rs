use super::*;

fn message(role: &str, text: &str) -> Message {
    Message {
        role: role.to_owned(),
        content: Value::String(text.to_owned()),
        rest: serde_json::Map::new(),
    }
}

fn request(messages: Vec<Message>, max_tokens: Option<u64>) -> Request {
    Request {
        model: "m".to_owned(),
        messages,
        stream: false,
        max_tokens,
        rest: serde_json::Map::new(),
    }
}

#[test]
fn the_user_message_sets_the_length_and_max_tokens_limits_it() {
    let messages = vec![message("user", "plan the berth #tokens=7, please")];
    let plan = Plan::new(&request(messages.clone(), None), 3);
    assert_eq!((plan.first, plan.end, plan.finish), (0, 7, "stop"));
    let plan = Plan::new(&request(messages, Some(4)), 3);
    assert_eq!((plan.first, plan.end, plan.finish), (0, 4, "length"));
}

// A stream broke off after two tokens. A second runner gets the partial answer and continues with
// the third token; both parts together must equal the answer of one uninterrupted run.
#[test]
fn a_partial_answer_is_continued_at_its_next_token() {
    let messages = vec![message("user", "q #tokens=5")];
    let expected = whole(&messages, 1);
    let partial: String = expected.split_inclusive(' ').take(2).collect();
    let mut resumed = messages;
    resumed.push(message("assistant", &partial));
    let rest = Plan::new(&request(resumed, None), 1).text();
    assert_eq!(format!("{partial}{rest}"), expected);
    assert_eq!(expected.split_whitespace().count(), 5);
}

#[test]
fn different_conversations_get_different_answers() {
    let first = whole(&[message("user", "a #tokens=2")], 1);
    let second = whole(&[message("user", "b #tokens=2")], 1);
    assert_ne!(first, second);
}

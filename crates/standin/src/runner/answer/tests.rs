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
fn the_user_sets_the_length_and_the_limit_cuts_it() {
    let asked = vec![message("user", "plan the berth #tokens=7, please")];
    let plan = Plan::new(&request(asked.clone(), None), 3);
    assert_eq!((plan.first, plan.end, plan.finish), (0, 7, "stop"));
    let plan = Plan::new(&request(asked, Some(4)), 3);
    assert_eq!((plan.first, plan.end, plan.finish), (0, 4, "length"));
}

// A stream broke off after two tokens. A second runner is given the partial answer and goes on
// with the third, so that both parts make the answer of one run.
#[test]
fn a_partial_answer_is_continued() {
    let asked = vec![message("user", "q #tokens=5")];
    let expected = whole(&asked, 1);
    let cut: String = expected.split_inclusive(' ').take(2).collect();
    let mut resumed = asked;
    resumed.push(message("assistant", &cut));
    let rest = Plan::new(&request(resumed, None), 1).text();
    assert_eq!(format!("{cut}{rest}"), expected);
    assert_eq!(expected.split_whitespace().count(), 5);
}

#[test]
fn other_conversations_get_other_answers() {
    let first = whole(&[message("user", "a #tokens=2")], 1);
    let second = whole(&[message("user", "b #tokens=2")], 1);
    assert_ne!(first, second);
}

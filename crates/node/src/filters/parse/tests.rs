use rstest::rstest;
use wire::code::Code;

use super::chat;

fn request(role: &str) -> String {
    format!(r#"{{"model":"m","messages":[{{"role":"{role}","content":"hello"}}]}}"#)
}

#[rstest]
#[case("system")]
#[case("user")]
#[case("assistant")]
#[case("tool")]
fn known_roles_are_accepted(#[case] role: &str) {
    assert!(chat(request(role).as_bytes()).is_ok());
}

// A caller misspells a role. The refusal names the field, and the message isn't stored.
#[rstest]
#[case("usr")]
#[case("")]
#[case("User")]
fn an_unknown_role_is_refused(#[case] role: &str) {
    let refusal = chat(request(role).as_bytes()).unwrap_err();
    assert_eq!(refusal.code, Code::BadField);
    assert!(refusal.message.contains("role"), "{refusal}");
}

use rstest::rstest;

use super::*;

fn parsed(line: &str) -> Result<Action> {
    let command = Command::new("t").subcommands(commands());
    let words = std::iter::once("t").chain(line.split(' '));
    let matches = command.try_get_matches_from(words)?;
    let (name, matches) = matches.subcommand().ok_or("no subcommand")?;
    target(matches)?;
    parse(name, matches)
}

#[test]
fn a_label_is_parsed_into_an_edit() {
    let edit = Edit::Label {
        subject: Subject::Caller(id::Caller::parse("tug-7").unwrap()),
        name: "fees".to_owned(),
        value: Some("overdue".to_owned()),
    };
    let action = parsed("label set caller tug-7 fees=overdue --json").unwrap();
    assert_eq!(action, Action::Change(Edit::Several(vec![edit])));
}

#[test]
fn a_selector_is_parsed_with_its_options() {
    let line = "selector set cutoff --caller duty=cutoff --class urgent --rank 9 --idle 1h";
    let Action::Change(Edit::Selector(selector)) = parsed(line).unwrap() else {
        panic!("not a selector");
    };
    assert_eq!((selector.class, selector.rank), (Class::Urgent, 9));
    assert_eq!(selector.caller.value("duty"), Some("cutoff"));
    assert_eq!(selector.budget.idle.as_u64(), 3_600_000);
}

#[rstest]
#[case("label set caller tug-7 fees")]
#[case("label set caller t/7 a=b")]
#[case("label set vm x a=b")]
#[case("selector set x --idle 5")]
#[case("selector set x --class soon")]
#[case("apply --file /nonexistent.toml")]
#[case("status --admin localhost")]
fn bad_input_is_refused(#[case] line: &str) {
    assert!(parsed(line).is_err());
}

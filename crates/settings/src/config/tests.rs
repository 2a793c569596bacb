use super::*;

fn caller(labels: &[(&str, &str)]) -> Caller {
    Caller {
        name: id::Caller::parse("tug-7").unwrap(),
        token: id::Digest::of(b"t"),
        labels: labels.iter().copied().collect(),
    }
}

fn config() -> Config {
    let text = r#"
        [[endpoints]]
        name = "fast"
        kind = "runner"
        address = "127.0.0.1:1"
        centre = "tas-a"
        serves = ["m"]
        slots = 4
        [[selectors]]
        name = "cutoff"
        rank = 10
        caller = { duty = "cutoff" }
        class = "urgent"
        [[selectors]]
        name = "overdue"
        rank = 50
        caller = { fees = "overdue" }
        budget = { tokens = 100, idle = "1h" }
        [[selectors]]
        name = "barred"
        rank = 20
        serves = ["secret"]
        allow = false
        [[selectors]]
        name = "z-all"
    "#;
    toml::from_str(text).unwrap()
}

fn granted(labels: &[(&str, &str)], serves: &str) -> Option<(String, Class)> {
    let config = config();
    let program = id::Program::parse("p").unwrap();
    let grant = config.grant(&caller(labels), &program, Kind::Runner, serves)?;
    Some((grant.selector.name.to_string(), grant.selector.class))
}

/// A tug master whose port account is overdue reports an emergency. Two selectors match, and an
/// operator gave the one for overdue accounts the higher rank. The one for emergencies still
/// applies: if rank decided, the emergency cutoff would wait behind routine messages.
#[test]
fn overdue_fees_never_demote_urgent_work() {
    let both = [("duty", "cutoff"), ("fees", "overdue")];
    assert_eq!(
        granted(&both, "m"),
        Some(("cutoff".to_owned(), Class::Urgent))
    );
    assert_eq!(
        granted(&both[1..], "m"),
        Some(("overdue".to_owned(), Class::Routine))
    );
}

#[test]
fn a_forbidding_selector_ends_the_search() {
    assert_eq!(granted(&[], "secret"), None);
    assert_eq!(
        granted(&[], "m"),
        Some(("z-all".to_owned(), Class::Routine))
    );
}

#[test]
fn a_budget_keeps_defaults_for_what_it_omits() {
    let budget = config().selectors[1].budget;
    assert_eq!(
        (budget.tokens, budget.turns),
        (100, Budget::default().turns)
    );
    assert_eq!(budget.idle.as_u64(), 3_600_000);
}

/// Operators list the repeatable operations. A switching order isn't listed, and one endpoint of
/// `weather` lists none. These operations run at most once, whichever selector applies.
#[test]
fn an_operation_runs_at_most_once_unless_every_endpoint_lists_it() {
    let text = r#"
        [[endpoints]]
        name = "a"
        kind = "service"
        address = "127.0.0.1:1"
        centre = "tas-a"
        serves = ["shore", "weather"]
        repeatable = ["lookup"]
        slots = 1
        [[endpoints]]
        name = "b"
        kind = "service"
        address = "127.0.0.1:2"
        centre = "tas-a"
        serves = ["weather"]
        slots = 1
    "#;
    let config: Config = toml::from_str(text).unwrap();
    assert!(config.runs_at_most_once("shore", "switch"));
    assert!(!config.runs_at_most_once("shore", "lookup"));
    assert!(config.runs_at_most_once("weather", "lookup"));
    assert!(config.runs_at_most_once("unknown", "lookup"));
}

use adapter::config;
use rstest::rstest;

use super::Table;
use super::pick_service;
use super::sample;

const DOCUMENT: &str = r#"{"version":3,"services":[],"routes":[
 {"name":"short","host":"h","prefix":"/a/","kind":"idempotent","timeoutMs":1,"sloMs":1,"priority":0,"service":"s"},
 {"name":"long","host":"h","prefix":"/a/b/","kind":"idempotent","timeoutMs":1,"sloMs":1,"priority":0,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}]},
 {"name":"other","host":"i","prefix":"/a/b/c/","kind":"idempotent","timeoutMs":1,"sloMs":1,"priority":0,"service":"s"}]}"#;

fn table() -> Table {
    Table::new(
        config::decode(DOCUMENT.as_bytes()).unwrap(),
        &[],
        &Table::default(),
    )
}

#[rstest]
#[case("h", "/a/x", Some("short"))]
#[case("h", "/a/b/c/d", Some("long"))]
#[case("h", "/a/bc", Some("short"))]
#[case("h", "/a", None)]
#[case("i", "/a/b/x", None)]
#[case("j", "/a/x", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[rstest]
#[case(0.0, "s")]
#[case(0.89, "s")]
#[case(0.91, "t")]
#[case(0.999, "t")]
fn service_choice_follows_the_weights(#[case] sample: f64, #[case] expected: &str) {
    let table = table();
    let route = table.find("h", "/a/b/c").unwrap();
    assert_eq!(pick_service(route, sample), Some(expected));
}

/// Guards against weights that are too large to be added up: all requests went to one service.
#[rstest]
#[case(0.25, "s")]
#[case(0.75, "t")]
fn the_largest_weights_are_added_up(#[case] sample: f64, #[case] expected: &str) {
    let largest = DOCUMENT.replace("\"weight\":90", "\"weight\":1e12");
    let largest = largest.replace("\"weight\":10", "\"weight\":1e12");
    let config = config::decode(largest.as_bytes()).unwrap();
    let table = Table::new(config, &[], &Table::default());
    let route = table.find("h", "/a/b/c").unwrap();
    assert_eq!(pick_service(route, sample), Some(expected));
}

/// A stream that is taken up would go to another service, which no runner of its build belongs to.
#[test]
fn an_id_decides_on_the_service_and_ids_follow_the_weights() {
    assert!((sample("q1") - sample("q1")).abs() < f64::EPSILON);
    let low = (0..1_000).filter(|number| sample(&format!("q{number}")) < 0.9);
    assert!((860..940).contains(&low.count()));
}

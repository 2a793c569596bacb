//! With what priority turns are sent to engines.

mod support;

use std::sync::Arc;

use adapter::config;
use adapter::settings;
use policy::crash::Incarnation;
use policy::standing::Standing;
use relay::fleet;
use relay::job::Job;
use relay::node::Node;
use relay::table::Table;
use wire::clock::Clock;
use wire::clock::Millis;

/// Creates a turn of a late program, of the rank 2; `contracts` is a line of the settings.
fn late_turn(contracts: &str) -> Job {
    let text = format!("{contracts}\n{}", fakes::settings::alone());
    let settings = settings::parse(&text).expect("the settings are valid");
    let node = Node::new(settings, Clock::System);
    let route = fakes::store::route("r", "stream", "s", 20_000, "");
    let route = route.replace("\"priority\":0", "\"priority\":2");
    let engine = r#"{"slots":16,"kvTokens":400000,"chunkTokens":10}"#;
    let document = format!(
        r#"{{"version":1,"services":[{{"name":"s","maxConns":9,"engine":{engine}}}],"routes":[{route}]}}"#
    );
    let config = config::decode(document.as_bytes()).expect("the configuration is valid");
    let table = Arc::new(Table::new(config, &[], &Table::default()));
    let mut job = support::job(&node, &table, "q-1");
    job.call.finish_within = Some(Millis::ZERO);
    job
}

fn runner() -> fleet::Choice {
    fleet::Choice {
        id: "i-1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
        build: "v1".to_owned(),
        occupied: 0,
        slots: 16,
        cached: 0,
        cost_ms: 0.0,
        candidates: 1,
        slowdown: None,
        placement: fleet::Placement::Unassigned,
        first_wait: None,
        passed_over: None,
    }
}

/// Guards against standings that change priorities where the endpoints are enough.
#[tokio::test]
async fn a_late_turn_keeps_its_priority_where_endpoints_are_ample() {
    let job = late_turn("");
    let standing = job.standing(&runner());
    assert_eq!((standing, job.priority(standing)), (None, Some(5)));
}

#[tokio::test]
async fn a_late_turn_yields_where_endpoints_are_scarce() {
    let job = late_turn("contracts = [\"pressure\"]");
    let standing = job.standing(&runner());
    let expected = (Some(Standing::Late), Some(8));
    assert_eq!((standing, job.priority(standing)), expected);
}

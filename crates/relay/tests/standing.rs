//! With what priority turns are sent to engines.

mod support;

use policy::crash::Incarnation;
use policy::standing::Standing;
use relay::fleet;
use relay::job::Job;
use wire::clock::Millis;

/// Creates a turn of a late program, of the rank 2; `contracts` is a line of the settings.
fn late_turn(contracts: &str) -> Job {
    let node = support::node(contracts);
    let route = fakes::store::route("r", "stream", "s", 20_000, "");
    let route = route.replace("\"priority\":0", "\"priority\":2");
    let mut job = support::job(&node, &support::engine_table(&route), "q-1");
    job.call.finish_within = Some(Millis::ZERO);
    job
}

fn runner() -> fleet::Choice {
    fleet::Choice {
        id: "i-1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: Incarnation(1),
        build: "v1".to_owned(),
        born: None,
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

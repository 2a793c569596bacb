//! Runners release the cache of programs that have ended.

mod harness;

use harness::ChatRequest;
use harness::Fleet;
use harness::Plan;
use harness::chat_until_answered;
use harness::end;
use harness::wait_until;
use serde_json::json;

// The program ends, and every order to release its cache is lost. Its owner is killed before one is
// delivered. The VM that takes the shard over knows from the journal which runner holds the cache,
// and repeats the order until the runner holds nothing of the program. Another program's cache
// stays.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_release_order_is_repeated_by_the_next_owner() {
    let mut fleet = Fleet::start(&Plan::three_vms()).await;
    let addresses = fleet.addresses();
    for program in ["gone", "kept"] {
        chat_until_answered(&addresses, &ChatRequest::turn(program, 1, "one #tokens=3")).await;
    }
    let runner = fleet.runners[0].address;
    let held = |cache: &serde_json::Value, program: &str| {
        let lines = cache["programs"].as_array().unwrap();
        lines.iter().any(|line| line["program"] == program)
    };
    wait_until(runner, "/cache", |cache| held(cache, "gone")).await;
    fleet.runners[0]
        .faults(json!({ "lose_orders": 1_000_000 }))
        .await;
    let owner = fleet.owner("east", 0, None).await;
    let others = fleet.others(owner);
    let ended = end(others[0], "gone").await.unwrap();
    assert_eq!(ended.status, 200, "{ended:?}");
    fleet.nodes[owner].process.kill();
    fleet.owner("east", 0, Some(owner)).await;
    fleet.runners[0].faults(json!({ "lose_orders": 0 })).await;
    let cache = wait_until(runner, "/cache", |cache| !held(cache, "gone")).await;
    assert!(held(&cache, "kept"), "{cache}");
}

//! No engine memory stays held for programs that are gone.

mod harness;

use harness::Ask;
use harness::Fleet;
use harness::Plan;
use harness::chat_until_answered;
use harness::end;
use harness::until;
use serde_json::json;

// The program ends, and the order to release its cache is lost again and again. Its owner is
// killed before one gets through. The VM that takes the shard over knows from the journal who
// holds the cache and goes on asking, until the runner holds nothing of the program; another
// program's cache stays.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_release_outlives_the_owner() {
    let mut fleet = Fleet::start(&Plan::three_vms()).await;
    let addresses = fleet.addresses();
    for program in ["gone", "kept"] {
        chat_until_answered(&addresses, &Ask::turn(program, 1, "one #tokens=3")).await;
    }
    let runner = fleet.runners[0].address;
    let held = |cache: &serde_json::Value, program: &str| {
        let lines = cache["programs"].as_array().unwrap();
        lines.iter().any(|line| line["program"] == program)
    };
    until(runner, "/cache", |cache| held(cache, "gone")).await;
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
    let cache = until(runner, "/cache", |cache| !held(cache, "gone")).await;
    assert!(held(&cache, "kept"), "{cache}");
}

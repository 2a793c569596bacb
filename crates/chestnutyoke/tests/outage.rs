//! What continues, and what is refused, while the platform doesn't answer.

mod harness;

use harness::ChatRequest;
use harness::Fleet;
use harness::Plan;
use harness::call;
use harness::chat_until_answered;
use harness::get;
use harness::message;
use harness::wait_for;
use serde_json::json;
use standin::runner::answer;

// The platform is down for longer than a lease. Model turns continue, for an existing program and
// for a new one. A call that may run at most once is refused, with the promise that it did not run
// and a time to retry after. After the outage the call runs once, and the turns of the outage are
// in the journal: they survive when their owner is killed.
#[tokio::test(flavor = "multi_thread")]
async fn turns_continue_and_calls_that_run_once_are_refused() {
    let mut fleet = Fleet::start(&Plan::three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.others(owner)[0];
    let mut history = Vec::new();
    for turn in 1..=4 {
        if turn == 2 {
            fleet.platform_faults(json!({ "down": "refuse" })).await;
        }
        let text = format!("turn {turn} #tokens=3");
        history.push(message("user", &text));
        let expected = answer::whole(&history, 16);
        let answer = chat_until_answered(&[entry], &ChatRequest::turn("p", turn, &text)).await;
        assert_eq!(answer.content(), expected, "turn {turn}");
        history.push(message("assistant", &expected));
    }
    let fresh = ChatRequest::turn("new", 1, "new #tokens=2");
    chat_until_answered(&[entry], &fresh).await;
    let refused = call(entry, Some("p"), "close", "k").await.unwrap();
    assert_eq!((refused.status, refused.ran()), (503, "no"), "{refused:?}");
    assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    let text = "turn 5 #tokens=3";
    history.push(message("user", text));
    let fifth = chat_until_answered(&[entry], &ChatRequest::turn("p", 5, text)).await;
    assert_eq!(fifth.content(), answer::whole(&history, 16));
    assert_eq!(fleet.runs("k", "close").await, 0);

    fleet.platform_faults(json!({ "down": "off" })).await;
    let ran = wait_for("the run of the call", async || {
        let answer = call(entry, Some("p"), "close", "k").await?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(ran.body["run"], 1);
    let owner = fleet.owner("east", 0, None).await;
    fleet.nodes[owner].process.kill();
    let survivors = fleet.others(owner);
    let again = chat_until_answered(&survivors, &ChatRequest::turn("p", 5, text)).await;
    assert_eq!(again.content(), fifth.content());
    assert_eq!(fleet.runs("k", "close").await, 1);
    let counts = get(fleet.platform.address, "/stats").await;
    assert_eq!(counts["refused"], 0, "over the platform's rate: {counts}");
}

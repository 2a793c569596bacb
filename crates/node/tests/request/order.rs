//! The order of turns, and repeated requests for the same turn.

use serde_json::json;
use standin::client;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::fleet::named;
use crate::fleet::refusal;
use crate::fleet::slow;

// A caller disconnects in the middle of its answer and sends the same turn again, twice at once.
// The turn has continued meanwhile. Both requests get its answer, and the runner runs it once.
#[tokio::test]
async fn a_turn_outlives_its_caller() {
    let fleet = Fleet::start(Plan {
        runner: slow(),
        ..Plan::default()
    })
    .await;
    let headers = named("berth", "1");
    let chat = client::chat("plan #tokens=12");
    let first = client::ask(fleet.callers, CHAT, &headers, &chat);
    tokio::select! {
        answer = first => panic!("answered before the caller gave up: {answer:?}"),
        () = fleet.until_started(1) => {}
    }
    let again = client::ask(fleet.callers, CHAT, &headers, &chat);
    let same = client::ask(fleet.callers, CHAT, &headers, &chat);
    let (again, same) = tokio::join!(again, same);
    assert_eq!(again.0, 200, "{}", again.1);
    assert_eq!(again.1["choices"], same.1["choices"]);
    let replayed = fleet.ask(CHAT, &headers, &chat).await;
    assert_eq!(replayed.1["choices"], again.1["choices"]);
    assert_eq!(fleet.attempts().await.len(), 1);
}

// While a turn runs and after it, other content under its number is refused, and so is a turn out
// of order. Otherwise a program's history would depend on which request arrives first.
#[tokio::test]
async fn other_content_and_turns_out_of_order_are_refused() {
    let fleet = Fleet::start(Plan {
        runner: slow(),
        ..Plan::default()
    })
    .await;
    let headers = named("berth", "1");
    let chat = client::chat("plan #tokens=12");
    let other = client::chat("other");
    let first = client::ask(fleet.callers, CHAT, &headers, &chat);
    let racing = async {
        fleet.until_started(1).await;
        let conflict = fleet.ask(CHAT, &headers, &other).await;
        let early = fleet.ask(CHAT, &named("berth", "2"), &other).await;
        (conflict, early)
    };
    let (first, (conflict, early)) = tokio::join!(first, racing);
    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(refusal(&conflict), ("CY1302", "no"));
    assert_eq!(refusal(&early), ("CY1301", "no"));
    let late = fleet.ask(CHAT, &headers, &other).await;
    assert_eq!(refusal(&late), ("CY1302", "no"));
    let gap = fleet.ask(CHAT, &named("berth", "3"), &other).await;
    assert_eq!(refusal(&gap), ("CY1301", "no"));
    let unknown = fleet.ask(CHAT, &named("none", "2"), &other).await;
    assert_eq!(refusal(&unknown), ("CY1205", "no"));
    assert_eq!(fleet.attempts().await.len(), 1);
}

// An ended program accepts no further turn, and the runner that cached it is told to drop it.
#[tokio::test]
async fn an_ended_program_leaves_the_runners_caches() {
    let fleet = Fleet::plain().await;
    let first = fleet
        .ask(CHAT, &named("berth", "1"), &client::chat("x"))
        .await;
    assert_eq!(first.0, 200, "{}", first.1);
    let bearer = format!("Bearer {}", client::TOKEN);
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/programs/berth";
    let ended = client::send(fleet.callers, "DELETE", path, &headers, "").await;
    let ended = client::read_json(ended.unwrap()).await;
    assert_eq!(ended.1["ended"], json!("CY1303"), "{}", ended.1);
    let next = fleet
        .ask(CHAT, &named("berth", "2"), &client::chat("y"))
        .await;
    assert_eq!(refusal(&next), ("CY1303", "no"));
    for runner in &fleet.runners {
        client::until(runner.address(), "/cache", |held| {
            !held.to_string().contains("berth")
        })
        .await;
    }
}

//! A data centre that is cut off from the platform, and changes of the configuration around it.

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::Ask;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::Signal;
use harness::call;
use harness::chat;
use harness::chat_until_answered;
use harness::get;
use harness::post;
use harness::said;
use harness::until;
use harness::until_some;
use serde_json::Value;
use serde_json::json;
use standin::runner::answer;

/// An accepted change is in force on every VM that can be reached after this time.
const IN_FORCE: Duration = Duration::from_secs(4);

fn two_centres() -> Plan {
    let endpoint = |name, centre| Endpoint {
        name,
        centre,
        options: vec![],
    };
    Plan {
        centres: vec![
            ("east", vec!["vm-1", "vm-2"]),
            ("west", vec!["vm-3", "vm-4"]),
        ],
        shards: 1,
        runners: vec![endpoint("runner-e", "east"), endpoint("runner-w", "west")],
        services: vec![endpoint("shore-e", "east"), endpoint("shore-w", "west")],
        ..Plan::default()
    }
}

async fn change(fleet: &Fleet, node: usize, value: &str) -> Value {
    let subject = json!({ "program": "p" });
    let edit = json!({ "label": { "subject": subject, "name": "duty", "value": value } });
    let body = json!({ "edit": edit, "expected": null });
    post(fleet.nodes[node].admin, "/operate/change", &body).await
}

async fn revision(fleet: &Fleet, node: usize) -> u64 {
    let status = get(fleet.nodes[node].admin, "/status").await;
    status["revision"].as_u64().unwrap()
}

// One centre can't reach the platform, and its connections hang. Its own programs go on there; a
// call that may run at most once is refused with the promise that it did not run. The other centre
// isn't touched, runs such calls, and doesn't take the cut-off programs over: the cut-off centre
// still answers for them, and goes on with them afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_centre_cut_off_from_the_platform_serves_its_own() {
    let fleet = Fleet::start(&two_centres()).await;
    let (east, west) = (fleet.nodes[0].callers, fleet.nodes[2].callers);
    let ask = |text: &str| Ask {
        text: text.to_owned(),
        ..Ask::default()
    };
    let first = chat_until_answered(&[east], &ask("one #tokens=2")).await;
    let program = first.body["chestnutyoke"]["program"].as_str().unwrap();
    assert!(program.contains("east"), "{program}");
    let western = chat_until_answered(&[west], &ask("one #tokens=2")).await;
    let other = western.body["chestnutyoke"]["program"].as_str().unwrap();
    let mut history = vec![
        said("user", "one #tokens=2"),
        said("assistant", first.content()),
    ];

    fleet.relays.platform_of("east").cut();
    for turn in 2..=4 {
        let text = format!("turn {turn} #tokens=2");
        history.push(said("user", &text));
        let answer = chat_until_answered(&[east], &Ask::turn(program, turn, &text)).await;
        assert_eq!(answer.content(), answer::whole(&history, 16));
        history.push(said("assistant", answer.content()));
    }
    let refused = until_some("a refusal with a promise", async || {
        let refused = call(east, Some(program), "close", "k-east").await?;
        assert_ne!(refused.status, 200, "{refused:?}");
        (refused.ran() == "no").then_some(refused)
    })
    .await;
    assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    let ran = call(west, Some(other), "close", "k-west").await.unwrap();
    assert_eq!(ran.status, 200, "{ran:?}");
    assert_eq!(fleet.runs("k-east", "close").await, 0);

    fleet.relays.platform_of("east").mend();
    let ran = until_some("the call's run", async || {
        let answer = call(east, Some(program), "close", "k-east").await?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(ran.body["run"], 1);
    history.push(said("user", "turn 5 #tokens=2"));
    let last = chat_until_answered(&[west], &Ask::turn(program, 5, "turn 5 #tokens=2")).await;
    assert_eq!(last.content(), answer::whole(&history, 16));
}

// No VM of the other data centre answers any more, and its leases lapse. A turn of its program is
// refused here, first with an outcome that isn't known where it may have arrived there, then with
// the promise that it did not run; nobody takes the program over, and programs of this data
// centre go on. When the other one is back, the program goes on where it stood.
#[tokio::test(flavor = "multi_thread")]
async fn programs_of_a_silent_centre_are_refused_and_kept() {
    let fleet = Fleet::start(&two_centres()).await;
    let (east, west) = (fleet.nodes[0].callers, fleet.nodes[2].callers);
    let first = Ask {
        text: "one #tokens=2".to_owned(),
        ..Ask::default()
    };
    let answer = chat_until_answered(&[west], &first).await;
    let program = answer.body["chestnutyoke"]["program"].as_str().unwrap();
    let mut history = vec![
        said("user", &first.text),
        said("assistant", answer.content()),
    ];
    for node in &fleet.nodes[2..] {
        node.signal(Signal::Stop);
    }
    let second = Ask::turn(program, 2, "two #tokens=2");
    let refused = until_some("a refusal with a promise", async || {
        let refused = chat(east, &second).await?;
        assert_ne!(refused.status, 200, "{refused:?}");
        assert_ne!(refused.ran(), "yes", "{refused:?}");
        (refused.ran() == "no").then_some(refused)
    })
    .await;
    assert_eq!(refused.body["error"]["code"], "CY4102", "{refused:?}");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    chat_until_answered(&[east], &first).await;
    for node in &fleet.nodes[2..] {
        node.signal(Signal::Cont);
    }
    history.push(said("user", &second.text));
    let answer = chat_until_answered(&[east], &second).await;
    assert_eq!(answer.content(), answer::whole(&history, 16));
    let owner = fleet.owner("west", 0, None).await;
    assert_eq!(fleet.nodes[owner].centre, "west");
}

// Two operators change the configuration by different VMs. The platform goes down right after the
// second change was accepted. Both are in force on every VM within four seconds all the same, and
// a VM that is killed and starts during the outage takes the highest revision from its peers
// before it serves.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_survives_an_outage_and_a_restart() {
    let mut fleet = Fleet::start(&two_centres()).await;
    assert_eq!(change(&fleet, 0, "routine").await["revision"], 2);
    assert_eq!(change(&fleet, 3, "emergency").await["revision"], 3);
    let accepted = Instant::now();
    fleet.platform_faults(json!({ "down": "refuse" })).await;
    for node in 0..fleet.nodes.len() {
        until(fleet.nodes[node].admin, "/status", |s| s["revision"] == 3).await;
    }
    let took = accepted.elapsed();
    assert!(took < IN_FORCE, "in force only after {took:?}");
    fleet.nodes[1].restart();
    fleet.nodes[1].ready().await;
    for node in 0..fleet.nodes.len() {
        assert_eq!(revision(&fleet, node).await, 3, "node {node}");
    }
    fleet.platform_faults(json!({ "down": "off" })).await;
    let last = until_some("a further change", async || {
        let answer = change(&fleet, 1, "routine").await;
        answer["revision"].as_u64()
    })
    .await;
    assert_eq!(last, 4);
}

//! A data centre that is cut off from the platform or silent, and configuration changes around an
//! outage.

mod harness;

use std::time::Duration;
use std::time::Instant;

use harness::ChatRequest;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::Signal;
use harness::call;
use harness::chat;
use harness::chat_until_answered;
use harness::get;
use harness::message;
use harness::post;
use harness::wait_for;
use harness::wait_until;
use serde_json::Value;
use serde_json::json;
use standin::runner::answer;

/// The time within which an accepted change must be in force on every reachable VM.
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

// One centre can't reach the platform, and its connections hang. Its own programs continue there; a
// call that may run at most once is refused with the promise that it did not run. The other centre
// isn't affected, runs such calls, and doesn't take over the programs of the cut-off centre, which
// keeps serving them and continues them afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_centre_cut_off_from_the_platform_serves_its_own_programs() {
    let fleet = Fleet::start(&two_centres()).await;
    let (east, west) = (fleet.nodes[0].callers, fleet.nodes[2].callers);
    let chat_request = |text: &str| ChatRequest {
        text: text.to_owned(),
        ..ChatRequest::default()
    };
    let first = chat_until_answered(&[east], &chat_request("one #tokens=2")).await;
    let program = first.body["chestnutyoke"]["program"].as_str().unwrap();
    assert!(program.contains("east"), "{program}");
    let western = chat_until_answered(&[west], &chat_request("one #tokens=2")).await;
    let other = western.body["chestnutyoke"]["program"].as_str().unwrap();
    let mut history = vec![
        message("user", "one #tokens=2"),
        message("assistant", first.content()),
    ];

    fleet.proxies.platform_of("east").cut();
    for turn in 2..=4 {
        let text = format!("turn {turn} #tokens=2");
        history.push(message("user", &text));
        let answer = chat_until_answered(&[east], &ChatRequest::turn(program, turn, &text)).await;
        assert_eq!(answer.content(), answer::whole(&history, 16));
        history.push(message("assistant", answer.content()));
    }
    let refused = wait_for("a refusal that promises that nothing ran", async || {
        let refused = call(east, Some(program), "close", "k-east").await?;
        assert_ne!(refused.status, 200, "{refused:?}");
        (refused.ran() == "no").then_some(refused)
    })
    .await;
    assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    let ran = call(west, Some(other), "close", "k-west").await.unwrap();
    assert_eq!(ran.status, 200, "{ran:?}");
    assert_eq!(fleet.runs("k-east", "close").await, 0);

    fleet.proxies.platform_of("east").restore();
    let ran = wait_for("the run of the call", async || {
        let answer = call(east, Some(program), "close", "k-east").await?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(ran.body["run"], 1);
    history.push(message("user", "turn 5 #tokens=2"));
    let last =
        chat_until_answered(&[west], &ChatRequest::turn(program, 5, "turn 5 #tokens=2")).await;
    assert_eq!(last.content(), answer::whole(&history, 16));
}

// No VM of the other data centre answers any more, and its leases expire. A turn of its program is
// refused here: first with an unknown outcome, because it may have arrived there, then with the
// promise that it did not run. No VM takes the program over, and programs of this data centre
// continue. When the other data centre is back, the program continues where it stopped.
#[tokio::test(flavor = "multi_thread")]
async fn programs_of_a_silent_centre_are_refused_and_kept() {
    let fleet = Fleet::start(&two_centres()).await;
    let (east, west) = (fleet.nodes[0].callers, fleet.nodes[2].callers);
    let first = ChatRequest {
        text: "one #tokens=2".to_owned(),
        ..ChatRequest::default()
    };
    let answer = chat_until_answered(&[west], &first).await;
    let program = answer.body["chestnutyoke"]["program"].as_str().unwrap();
    let mut history = vec![
        message("user", &first.text),
        message("assistant", answer.content()),
    ];
    for node in &fleet.nodes[2..] {
        node.signal(Signal::Stop);
    }
    let second = ChatRequest::turn(program, 2, "two #tokens=2");
    let refused = wait_for("a refusal that promises that nothing ran", async || {
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
    history.push(message("user", &second.text));
    let answer = chat_until_answered(&[east], &second).await;
    assert_eq!(answer.content(), answer::whole(&history, 16));
    let owner = fleet.owner("west", 0, None).await;
    assert_eq!(fleet.nodes[owner].centre, "west");
}

// Two operators change the configuration through different VMs. The platform goes down right after
// the second change was accepted. Still, both changes are in force on every VM within four seconds,
// and a VM that is killed and restarted during the outage takes the highest revision from its peers
// before it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_survives_an_outage_and_a_restart() {
    let mut fleet = Fleet::start(&two_centres()).await;
    assert_eq!(change(&fleet, 0, "routine").await["revision"], 2);
    assert_eq!(change(&fleet, 3, "emergency").await["revision"], 3);
    let accepted = Instant::now();
    fleet.platform_faults(json!({ "down": "refuse" })).await;
    for node in 0..fleet.nodes.len() {
        wait_until(fleet.nodes[node].admin, "/status", |s| s["revision"] == 3).await;
    }
    let took = accepted.elapsed();
    assert!(took < IN_FORCE, "in force only after {took:?}");
    fleet.nodes[1].restart();
    fleet.nodes[1].ready().await;
    for node in 0..fleet.nodes.len() {
        assert_eq!(revision(&fleet, node).await, 3, "node {node}");
    }
    fleet.platform_faults(json!({ "down": "off" })).await;
    let last = wait_for("a further change", async || {
        let answer = change(&fleet, 1, "routine").await;
        answer["revision"].as_u64()
    })
    .await;
    assert_eq!(last, 4);
}

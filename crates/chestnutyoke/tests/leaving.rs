//! An endpoint that is about to leave gets no new work after a few seconds.

mod harness;

use std::time::Duration;

use harness::ChatRequest;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::chat_until_answered;
use harness::get;
use harness::post;
use rstest::rstest;
use serde_json::json;

/// How long after the first announcement the endpoint may still get new work.
const GRACE: Duration = Duration::from_secs(3);
/// The number of turns sent afterwards.
const TURNS: u32 = 20;

/// Where it is first announced that the runner leaves.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// In the platform's list.
    List,
    /// In the runner's load report, while the list doesn't show it.
    Report,
}

async fn attempts(fleet: &Fleet, runner: usize) -> usize {
    let counts = get(fleet.runners[runner].address, "/stats").await;
    counts["attempts"].as_array().unwrap().len()
}

// One of two runners is about to leave, which only the list or only its own load report announces.
// The runner would still accept calls. From three seconds after the announcement all turns go to
// the other runner, whichever VM they are sent to.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_nothing_after_three_seconds(
    #[values(Source::List, Source::Report)] announced_in: Source,
) {
    let runner = |name| Endpoint {
        name,
        centre: "east",
        options: vec!["--tokens-per-second", "1000"],
    };
    let plan = Plan {
        runners: vec![runner("runner-1"), runner("runner-2")],
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).await;
    let addresses = fleet.addresses();
    let mut turn = 0;
    while attempts(&fleet, 0).await == 0 {
        turn += 1;
        let request = ChatRequest::turn(&format!("before-{turn}"), 1, "before #tokens=2");
        chat_until_answered(&addresses, &request).await;
    }
    match announced_in {
        Source::List => {
            let mut list = get(fleet.platform.address, "/vms").await;
            for line in list["vms"].as_array_mut().unwrap() {
                if line["name"] == "runner-1" {
                    line["standing"] = json!("leaving");
                }
            }
            post(fleet.platform.address, "/vms", &list).await;
        }
        Source::Report => {
            let faults = json!({ "announce_leaving": true });
            fleet.runners[0].faults(faults).await;
        }
    }
    tokio::time::sleep(GRACE).await;
    let before = [attempts(&fleet, 0).await, attempts(&fleet, 1).await];
    for turn in 0..TURNS {
        let request = ChatRequest::turn(&format!("after-{turn}"), 1, "after #tokens=2");
        let address = addresses[turn as usize % addresses.len()];
        chat_until_answered(&[address], &request).await;
    }
    assert_eq!(attempts(&fleet, 0).await, before[0]);
    assert_eq!(attempts(&fleet, 1).await, before[1] + TURNS as usize);
}

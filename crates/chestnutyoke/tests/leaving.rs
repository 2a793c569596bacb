//! A leaving endpoint gets no new work after a few seconds.

mod harness;

use std::time::Duration;

use harness::Ask;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::chat_until_answered;
use harness::get;
use harness::post;
use rstest::rstest;
use serde_json::json;

/// After this much time from the first sign nothing new may go to the endpoint.
const GRACE: Duration = Duration::from_secs(3);
/// Turns sent afterwards.
const TURNS: u32 = 20;

/// What says first that the runner leaves.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// The platform's list.
    List,
    /// The runner's load report, while the list lags by an hour.
    Report,
}

async fn attempts(fleet: &Fleet, runner: usize) -> usize {
    let counts = get(fleet.runners[runner].address, "/stats").await;
    counts["attempts"].as_array().unwrap().len()
}

// One of two runners is about to leave, and only the list or only its own report says so; it
// would still take calls. From three seconds after the sign on all turns go to the other one, by
// whichever VM they come.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_nothing_after_three_seconds(
    #[values(Sign::List, Sign::Report)] sign: Sign,
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
        let ask = Ask::turn(&format!("before-{turn}"), 1, "before #tokens=2");
        chat_until_answered(&addresses, &ask).await;
    }
    match sign {
        Sign::List => {
            let mut list = get(fleet.platform.address, "/vms").await;
            for line in list["vms"].as_array_mut().unwrap() {
                if line["name"] == "runner-1" {
                    line["standing"] = json!("leaving");
                }
            }
            post(fleet.platform.address, "/vms", &list).await;
        }
        Sign::Report => {
            let faults = json!({ "announce_leaving": true });
            fleet.runners[0].faults(faults).await;
        }
    }
    tokio::time::sleep(GRACE).await;
    let before = [attempts(&fleet, 0).await, attempts(&fleet, 1).await];
    for turn in 0..TURNS {
        let ask = Ask::turn(&format!("after-{turn}"), 1, "after #tokens=2");
        let address = addresses[turn as usize % addresses.len()];
        chat_until_answered(&[address], &ask).await;
    }
    assert_eq!(attempts(&fleet, 0).await, before[0]);
    assert_eq!(attempts(&fleet, 1).await, before[1] + TURNS as usize);
}

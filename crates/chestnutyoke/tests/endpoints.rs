//! Runners that die, alone or by a request that kills each one that runs it.

mod harness;

use harness::Ask;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::chat;
use harness::get;
use harness::open;
use harness::said;
use harness::until_some;
use serde_json::json;
use standin::runner::answer;

fn runners(names: &[&'static str]) -> Plan {
    let runner = |name: &&'static str| Endpoint {
        name,
        centre: "east",
        options: vec!["--tokens-per-second", "50"],
    };
    Plan {
        runners: names.iter().map(runner).collect(),
        ..Plan::default()
    }
}

async fn busy(fleet: &Fleet) -> usize {
    until_some("a runner with a call", async || {
        for (index, runner) in fleet.runners.iter().enumerate() {
            let load = get(runner.address, "/load").await;
            if load["running"] == 1 {
                return Some(index);
            }
        }
        None
    })
    .await
}

// The runner dies in the middle of a stream. The owner goes on at the other runner with what has
// been generated, and the caller sees one stream with the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_runner_killed_in_mid_stream_doesnt_show() {
    let mut fleet = Fleet::start(&runners(&["runner-1", "runner-2"])).await;
    let text = "plan #tokens=40";
    let ask = Ask::turn("p", 1, text);
    let mut stream = open(fleet.nodes[0].callers, &ask).await.unwrap();
    stream.words(5).await;
    let running = busy(&fleet).await;
    fleet.runners[running].kill();
    stream.finish().await;
    assert!(stream.ended, "{:?}", stream.error);
    assert_eq!(stream.text, answer::whole(&[said("user", text)], 16));
}

// A stream is cut off by the runner, again and again. No cut stream is passed off as whole: the
// caller gets the whole answer in the end, or an error in place of the marker.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_never_passed_off_as_whole() {
    let fleet = Fleet::start(&runners(&["runner-1", "runner-2"])).await;
    for runner in &fleet.runners {
        runner.faults(json!({ "cuts": 1, "cut_after": 3 })).await;
    }
    let text = "plan #tokens=12";
    let ask = Ask::turn("p", 1, text);
    let mut stream = open(fleet.nodes[0].callers, &ask).await.unwrap();
    stream.finish().await;
    let whole = answer::whole(&[said("user", text)], 16);
    assert!(whole.starts_with(&stream.text), "{}", stream.text);
    assert_eq!(stream.ended, stream.text == whole, "{:?}", stream.error);
    let again = chat(fleet.nodes[1].callers, &ask).await.unwrap();
    assert_eq!((again.status, again.content()), (200, whole.as_str()));
}

// One request crashes every runner that runs it. It is stopped after the second; its caller is
// told for good, also when it asks again, by another VM, or with a new program. The third runner
// lives, and a call that shared a runner with it is finished there and isn't blamed.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_runners_is_stopped_after_the_second() {
    let mut fleet = Fleet::start(&runners(&["runner-1", "runner-2", "runner-3"])).await;
    for runner in &fleet.runners {
        runner.faults(json!({ "crash_mark": "boom" })).await;
    }
    let text = "innocent #tokens=60";
    let innocent = Ask::turn("innocent", 1, text);
    let mut stream = open(fleet.nodes[1].callers, &innocent).await.unwrap();
    stream.words(2).await;
    let marked = Ask::turn("marked", 1, "boom #tokens=5");
    let first = chat(fleet.nodes[0].callers, &marked).await.unwrap();
    assert_eq!(first.code(), "CY3102", "{first:?}");
    for address in fleet.addresses() {
        let again = chat(address, &marked).await.unwrap();
        assert_eq!(again.code(), "CY3102", "{again:?}");
    }
    let fresh = Ask::turn("fresh", 1, "boom #tokens=5");
    let fresh = chat(fleet.nodes[1].callers, &fresh).await.unwrap();
    assert_eq!(fresh.code(), "CY3102", "{fresh:?}");
    stream.finish().await;
    assert!(stream.ended, "{:?}", stream.error);
    assert_eq!(stream.text, answer::whole(&[said("user", text)], 16));
    let dead = fleet
        .runners
        .iter_mut()
        .filter_map(|r| r.ended().then_some(()));
    assert_eq!(dead.count(), 2);
}

//! Tests of what only the network adapter shows: connections, rate limits, time-outs and several
//! addresses.

use std::net::SocketAddr;

use platform::edge::Compare;
use platform::edge::Fault;
use platform::edge::Outcome;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Result;
use platform::edge::Txn;
use platform::edge::Write;
use platform::etcd::Etcd;
use serde_json::json;
use standin::client;
use standin::client::get;
use standin::client::post;
use standin::client::until;
use standin::http::Server;
use standin::platform::Settings;
use tokio::net::TcpListener;
use wire::clock::Clock;
use wire::clock::Millis;

async fn start(settings: Settings) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    standin::platform::serve(listener, settings, Clock::System).unwrap()
}

/// Returns an address where nothing listens.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

async fn create(etcd: &Etcd, key: &str) -> Result<Outcome> {
    let txn = Txn {
        compares: vec![Compare {
            key: key.to_owned(),
            revision: 0,
        }],
        writes: vec![Write::Put {
            key: key.to_owned(),
            value: b"1".to_vec(),
            lease: None,
        }],
    };
    etcd.commit(&txn, Priority::Commit).await
}

#[tokio::test]
async fn a_closed_port_is_down_and_the_next_address_is_used() {
    let server = start(Settings::default()).await;
    let unused = closed_address().await;
    let unreachable = Etcd::new(vec![unused], Millis::new(2_000));
    let refused = create(&unreachable, "a").await;
    assert!(matches!(refused, Err(Fault::Down(_))), "{refused:?}");
    let with_fallback = Etcd::new(vec![unused, server.address()], Millis::new(2_000));
    assert!(matches!(
        create(&with_fallback, "a").await,
        Ok(Outcome::Applied(_))
    ));
}

// The platform accepts the connection and then drops it or never answers. The outcome of a write
// is unknown, because it may have taken effect; a read just fails as `Down`.
#[tokio::test]
async fn a_write_whose_connection_breaks_after_the_request_has_an_unknown_outcome() {
    let server = start(Settings::default()).await;
    let etcd = Etcd::new(vec![server.address()], Millis::new(100));
    for outage in ["drop", "hang"] {
        post(server.address(), "/faults", &[], &json!({ "down": outage })).await;
        let write = create(&etcd, "a").await;
        assert!(
            matches!(write, Err(Fault::Unknown(_))),
            "{outage}: {write:?}"
        );
        let read = etcd.read("a").await;
        assert!(matches!(read, Err(Fault::Down(_))), "{outage}: {read:?}");
    }
    post(server.address(), "/faults", &[], &json!({ "down": "off" })).await;
    assert_eq!(etcd.read("a").await, Ok(None));
}

#[tokio::test]
async fn a_call_over_the_rate_limit_is_refused_and_has_no_effect() {
    let server = start(Settings {
        writes: 0,
        ..Settings::default()
    })
    .await;
    let etcd = Etcd::new(vec![server.address()], Millis::new(2_000));
    let write = create(&etcd, "a").await;
    assert!(matches!(write, Err(Fault::Limited(_))), "{write:?}");
    assert_eq!(etcd.read("a").await, Ok(None));
    let stats = get(server.address(), "/stats").await;
    assert_eq!((&stats["refused"], &stats["reads"]), (&json!(1), &json!(1)));
}

// An outage begins while a watch is open. The channel of the watch closes, so that the watcher
// lists again.
#[tokio::test]
async fn a_watch_ends_when_an_outage_begins() {
    let server = start(Settings::default()).await;
    let etcd = Etcd::new(vec![server.address()], Millis::new(2_000));
    let mut changes = etcd.watch("a", 1).await.unwrap();
    until(server.address(), "/stats", |stats| stats["watches"] == 1).await;
    post(
        server.address(),
        "/faults",
        &[],
        &json!({ "down": "refuse" }),
    )
    .await;
    let received = tokio::time::timeout(client::TIMEOUT, changes.recv()).await;
    assert_eq!(received, Ok(None));
}

#[tokio::test]
async fn the_vm_list_lags_by_the_configured_time() {
    let server = start(Settings::default()).await;
    let etcd = Etcd::new(vec![server.address()], Millis::new(2_000));
    let list = |standing: &str| json!({ "vms": [{ "name": "vm-1", "centre": "east", "standing": standing }] });
    post(server.address(), "/vms", &[], &list("live")).await;
    assert_eq!(etcd.machines().await.unwrap().len(), 1);
    let faults = json!({ "lag_ms": 3_600_000 });
    post(server.address(), "/faults", &[], &faults).await;
    assert_eq!(etcd.machines().await.unwrap().len(), 0);
    post(server.address(), "/faults", &[], &json!({ "lag_ms": 0 })).await;
    post(server.address(), "/vms", &[], &list("leaving")).await;
    let shown = get(server.address(), "/vms").await;
    assert_eq!(shown["vms"][0]["standing"], "leaving");
}

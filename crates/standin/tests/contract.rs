//! The guarantees that the system needs from the platform, tested both on the in-memory platform
//! and on the network adapter with the stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use platform::edge::Change;
use platform::edge::Compare;
use platform::edge::Fault;
use platform::edge::Lease;
use platform::edge::MAX_VALUE;
use platform::edge::Machine;
use platform::edge::Outcome;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Standing;
use platform::edge::Txn;
use platform::edge::Write;
use platform::etcd::Etcd;
use platform::memory::Injection;
use platform::memory::Memory;
use rstest::rstest;
use standin::client;
use standin::client::TIMEOUT;
use standin::http::Server;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::id;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Memory,
    Gateway,
}

enum Backend {
    Memory(Memory),
    Gateway { etcd: Box<Etcd>, server: Server },
}

/// A platform under test and its clock.
struct Bench {
    time: Arc<AtomicU64>,
    backend: Backend,
}

impl Bench {
    async fn new(kind: Kind) -> Self {
        let time = Arc::new(AtomicU64::new(1_000_000));
        let clock = Clock::Manual(time.clone());
        let backend = match kind {
            Kind::Memory => Backend::Memory(Memory::new(clock)),
            Kind::Gateway => {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let settings = standin::platform::Settings {
                    writes: 10_000,
                    reads: 10_000,
                    lag: Millis::ZERO,
                    kept_changes: 4,
                };
                let server = standin::platform::serve(listener, settings, clock).unwrap();
                let etcd = Box::new(Etcd::new(vec![server.address()], Millis::new(5_000)));
                Backend::Gateway { etcd, server }
            }
        };
        Self { time, backend }
    }

    fn platform(&self) -> &dyn Platform {
        match &self.backend {
            Backend::Memory(memory) => memory,
            Backend::Gateway { etcd, .. } => etcd.as_ref(),
        }
    }

    fn advance_clock(&self, millis: u64) {
        self.time.fetch_add(millis, Ordering::SeqCst);
    }

    async fn inject(&self, play: Injection) {
        match &self.backend {
            Backend::Memory(memory) => memory.inject(play),
            Backend::Gateway { server, .. } => {
                let faults = match play {
                    Injection::LoseAnswer => r#"{"lose_answers":1}"#,
                    Injection::LoseWrite => r#"{"lose_writes":1}"#,
                    Injection::Delay => r#"{"delay_writes":1}"#,
                };
                post(server.address(), "/faults", faults).await;
            }
        }
    }

    async fn deliver(&self) {
        match &self.backend {
            Backend::Memory(memory) => memory.deliver(),
            Backend::Gateway { server, .. } => post(server.address(), "/deliver", "").await,
        }
    }

    async fn set_down(&self, down: bool) {
        match &self.backend {
            Backend::Memory(memory) => memory.set_down(down),
            Backend::Gateway { server, .. } => {
                let outage = if down { "refuse" } else { "off" };
                let faults = format!(r#"{{"down":"{outage}"}}"#);
                post(server.address(), "/faults", &faults).await;
            }
        }
    }

    async fn set_machines(&self, machines: Vec<Machine>) {
        match &self.backend {
            Backend::Memory(memory) => memory.set_machines(machines),
            Backend::Gateway { server, .. } => {
                let list = serde_json::json!({ "vms": machines });
                post(server.address(), "/vms", &list.to_string()).await;
            }
        }
    }
}

async fn post(address: SocketAddr, path: &str, body: &str) {
    let response = client::send(address, "POST", path, &[], body).await;
    let status = response.unwrap().status();
    assert!(status.is_success(), "{status}");
}

fn put(key: &str, value: &[u8], lease: Option<Lease>) -> Write {
    Write::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease,
    }
}

fn compare(key: &str, revision: u64) -> Compare {
    Compare {
        key: key.to_owned(),
        revision,
    }
}

fn create(key: &str, value: &[u8]) -> Txn {
    Txn {
        compares: vec![compare(key, 0)],
        writes: vec![put(key, value, None)],
    }
}

async fn apply(platform: &dyn Platform, txn: &Txn) -> u64 {
    match platform.commit(txn, Priority::Commit).await.unwrap() {
        Outcome::Applied(revision) => revision,
        Outcome::Refused(present) => panic!("refused: {present:?}"),
    }
}

async fn keys(platform: &dyn Platform, prefix: &str, from: &str, limit: usize) -> Vec<String> {
    let listed = platform.range(prefix, from, limit).await.unwrap();
    listed.into_iter().map(|entry| entry.key).collect()
}

async fn next_change(changes: &mut mpsc::Receiver<Change>) -> Option<Change> {
    tokio::time::timeout(TIMEOUT, changes.recv())
        .await
        .expect("no change arrived in time")
}

#[rstest]
#[tokio::test]
async fn only_the_first_creation_of_a_key_succeeds(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    let revision = apply(platform, &create("a", b"1")).await;
    let second = platform.commit(&create("a", b"2"), Priority::Commit).await;
    let Outcome::Refused(present) = second.unwrap() else {
        panic!("created twice")
    };
    assert_eq!(present.len(), 1);
    assert_eq!(present[0].value, b"1");
    assert_eq!(present[0].revision, revision);
    assert_eq!(platform.read("a").await.unwrap().as_ref(), present.first());
    assert_eq!(platform.read("b").await.unwrap(), None);
}

#[rstest]
#[tokio::test]
async fn a_compare_and_swap_needs_the_current_revision_of_every_key(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    let first = apply(platform, &create("a", b"1")).await;
    let second = apply(platform, &create("b", b"1")).await;
    assert!(second > first);
    let swap = |a, b| Txn {
        compares: vec![compare("a", a), compare("b", b)],
        writes: vec![put("a", b"2", None), Write::Delete("b".to_owned())],
    };
    let stale = platform.commit(&swap(first, first), Priority::Change).await;
    let Outcome::Refused(present) = stale.unwrap() else {
        panic!("a stale swap took effect")
    };
    assert_eq!(present.len(), 2);
    assert_eq!(platform.read("a").await.unwrap().unwrap().value, b"1");
    let third = apply(platform, &swap(first, second)).await;
    let a = platform.read("a").await.unwrap().unwrap();
    assert_eq!((a.value.as_slice(), a.revision), (&b"2"[..], third));
    assert_eq!(platform.read("b").await.unwrap(), None);
}

#[rstest]
#[tokio::test]
async fn a_range_respects_its_prefix_start_and_limit(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    for key in ["p/3", "q/1", "p/1", "p/2", "o/9", "p"] {
        apply(platform, &create(key, b"v")).await;
    }
    assert_eq!(keys(platform, "p/", "", 10).await, ["p/1", "p/2", "p/3"]);
    assert_eq!(keys(platform, "p/", "p/2", 10).await, ["p/2", "p/3"]);
    assert_eq!(keys(platform, "p/", "", 2).await, ["p/1", "p/2"]);
    assert_eq!(keys(platform, "p/", "p/9", 10).await, [""; 0]);
    assert_eq!(keys(platform, "", "", 10).await.len(), 6);
}

// A write takes effect, but its answer is lost. The writer learns that the outcome is unknown, and
// finds its own bytes when it reads the key back.
#[rstest]
#[tokio::test]
async fn a_write_whose_answer_is_lost_can_be_read_back(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    apply(platform, &create("z", b"0")).await;
    bench.inject(Injection::LoseAnswer).await;
    let lost = platform
        .commit(&create("a", b"mine"), Priority::Commit)
        .await;
    assert!(matches!(lost, Err(Fault::Unknown(_))), "{lost:?}");
    let found = platform.read("a").await.unwrap().unwrap();
    assert_eq!(found.value, b"mine");
    let again = platform
        .commit(&create("a", b"mine"), Priority::Commit)
        .await;
    assert_eq!(again.unwrap(), Outcome::Refused(vec![found]));
}

// A write is lost before it reaches the platform. The writer can't distinguish this from a lost
// answer; sending the same bytes again resolves it.
#[rstest]
#[tokio::test]
async fn a_lost_write_has_an_unknown_outcome_and_can_be_sent_again(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    bench.inject(Injection::LoseWrite).await;
    let lost = platform
        .commit(&create("a", b"mine"), Priority::Commit)
        .await;
    assert!(matches!(lost, Err(Fault::Unknown(_))), "{lost:?}");
    assert_eq!(platform.read("a").await.unwrap(), None);
    apply(platform, &create("a", b"mine")).await;
}

// A write takes effect after its writer gave up. A read before that finds no key, so a missing key
// doesn't mean that the write will never take effect. Once another writer has created the key, the
// late write is refused.
#[rstest]
#[tokio::test]
async fn a_write_may_take_effect_after_its_writer_gave_up(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    for key in ["a", "b"] {
        bench.inject(Injection::Delay).await;
        let late = platform
            .commit(&create(key, b"late"), Priority::Commit)
            .await;
        assert!(matches!(late, Err(Fault::Unknown(_))), "{late:?}");
        assert_eq!(platform.read(key).await.unwrap(), None);
    }
    apply(platform, &create("b", b"other")).await;
    bench.deliver().await;
    assert_eq!(platform.read("a").await.unwrap().unwrap().value, b"late");
    assert_eq!(platform.read("b").await.unwrap().unwrap().value, b"other");
}

// The platform is down and refuses calls. A write fails with `Down`, which means that it had no
// effect; a read after the outage confirms this.
#[rstest]
#[tokio::test]
async fn calls_in_an_outage_fail_as_down_and_have_no_effect(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    bench.set_down(true).await;
    let write = platform.commit(&create("a", b"1"), Priority::Commit).await;
    assert!(matches!(write, Err(Fault::Down(_))), "{write:?}");
    let read = platform.read("a").await;
    assert!(matches!(read, Err(Fault::Down(_))), "{read:?}");
    assert!(matches!(platform.machines().await, Err(Fault::Down(_))));
    assert!(matches!(platform.watch("", 0).await, Err(Fault::Down(_))));
    bench.set_down(false).await;
    assert_eq!(platform.read("a").await.unwrap(), None);
    apply(platform, &create("a", b"1")).await;
}

// A lease isn't renewed in time: its key is removed, the watcher is notified, and a late renewal
// learns that the lease has ended.
#[rstest]
#[tokio::test]
async fn an_expired_lease_removes_its_keys(#[values(Kind::Memory, Kind::Gateway)] kind: Kind) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    let lease = platform.grant(Millis::new(2_000)).await.unwrap();
    let txn = Txn {
        compares: vec![compare("held", 0)],
        writes: vec![put("held", b"1", Some(lease))],
    };
    let revision = apply(platform, &txn).await;
    let mut changes = platform.watch("held", revision + 1).await.unwrap();
    bench.advance_clock(1_500);
    assert!(platform.renew(lease).await.unwrap());
    bench.advance_clock(1_500);
    assert!(platform.read("held").await.unwrap().is_some());
    bench.advance_clock(1_000);
    assert_eq!(platform.read("held").await.unwrap(), None);
    assert!(!platform.renew(lease).await.unwrap());
    let change = next_change(&mut changes).await;
    assert!(
        matches!(&change, Some(Change::Removed { key, .. }) if key == "held"),
        "{change:?}"
    );
}

#[rstest]
#[tokio::test]
async fn a_revoked_lease_removes_its_keys(#[values(Kind::Memory, Kind::Gateway)] kind: Kind) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    let lease = platform.grant(Millis::new(5_000)).await.unwrap();
    let txn = Txn {
        compares: vec![],
        writes: vec![put("held", b"1", Some(lease)), put("free", b"1", None)],
    };
    apply(platform, &txn).await;
    platform.revoke(lease).await.unwrap();
    assert_eq!(platform.read("held").await.unwrap(), None);
    assert!(platform.read("free").await.unwrap().is_some());
    platform.revoke(lease).await.unwrap();
}

// The watcher first lists and then watches from the next revision. Changes in between are reported
// once and in order; keys outside the prefix are not.
#[rstest]
#[tokio::test]
async fn a_watch_reports_changes_since_its_start_revision(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    let seen = apply(platform, &create("p/1", b"1")).await;
    let missed = apply(platform, &create("p/2", b"2")).await;
    let mut changes = platform.watch("p/", seen + 1).await.unwrap();
    apply(platform, &create("q/1", b"3")).await;
    let delete = Txn {
        compares: vec![compare("p/2", missed)],
        writes: vec![Write::Delete("p/2".to_owned())],
    };
    let removed = apply(platform, &delete).await;
    let first = next_change(&mut changes).await;
    assert!(
        matches!(&first, Some(Change::Set(e)) if e.key == "p/2" && e.revision == missed),
        "{first:?}"
    );
    let second = next_change(&mut changes).await;
    let expected = Change::Removed {
        key: "p/2".to_owned(),
        revision: removed,
    };
    assert_eq!(second, Some(expected));
}

// The platform no longer has the changes since the revision that the watcher asks for. The first
// watch ends, and the one that the caller starts after listing again stays open; otherwise a prefix
// that changes rarely could never be watched.
#[rstest]
#[tokio::test]
async fn a_watch_from_a_compacted_revision_succeeds_at_the_second_attempt(
    #[values(Kind::Memory, Kind::Gateway)] kind: Kind,
) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    let seen = apply(platform, &create("rare", b"1")).await;
    for index in 0..20 {
        apply(platform, &create(&format!("busy/{index}"), b"1")).await;
    }
    let mut changes = platform.watch("rare", seen + 1).await.unwrap();
    if matches!(kind, Kind::Gateway) {
        assert_eq!(next_change(&mut changes).await, None);
        changes = platform.watch("rare", seen + 1).await.unwrap();
    }
    let txn = Txn {
        compares: vec![compare("rare", seen)],
        writes: vec![put("rare", b"2", None)],
    };
    apply(platform, &txn).await;
    let change = next_change(&mut changes).await;
    assert!(
        matches!(&change, Some(Change::Set(e)) if e.value == b"2"),
        "{change:?}"
    );
}

#[rstest]
#[tokio::test]
async fn a_value_over_the_limit_is_refused(#[values(Kind::Memory, Kind::Gateway)] kind: Kind) {
    let bench = Bench::new(kind).await;
    let platform = bench.platform();
    apply(platform, &create("fits", &vec![7; MAX_VALUE])).await;
    let fits = platform.read("fits").await.unwrap().unwrap();
    assert_eq!(fits.value.len(), MAX_VALUE);
    let over = create("over", &vec![7; MAX_VALUE + 1]);
    let refused = platform.commit(&over, Priority::Commit).await;
    assert!(matches!(refused, Err(Fault::Invalid(_))), "{refused:?}");
    assert_eq!(platform.read("over").await.unwrap(), None);
}

#[rstest]
#[tokio::test]
async fn the_list_shows_vms_and_endpoints(#[values(Kind::Memory, Kind::Gateway)] kind: Kind) {
    let bench = Bench::new(kind).await;
    let machine = |name: &str, standing| Machine {
        name: name.to_owned(),
        centre: id::Centre::parse("east").unwrap(),
        standing,
    };
    let list = vec![
        machine("vm-1", Standing::Live),
        machine("runner-1", Standing::Leaving),
    ];
    bench.set_machines(list.clone()).await;
    assert_eq!(bench.platform().machines().await.unwrap(), list);
}

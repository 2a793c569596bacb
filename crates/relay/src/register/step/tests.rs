use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::settings;
use platform::edge;
use platform::edge::Fault;
use platform::edge::Lease;
use platform::edge::Outcome;
use wire::clock::Clock;

use super::RENEW_INTERVAL;
use super::Registration;
use super::Step;
use crate::directory;
use crate::directory::Entry;
use crate::directory::SLOTS;
use crate::ingest;
use crate::node::Node;
use crate::register;
use crate::subject;

const LEASE: Lease = Lease(7);

struct Setup {
    node: Arc<Node>,
    now: Arc<AtomicU64>,
    registration: Registration,
}

impl Setup {
    fn new() -> Self {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let text = fakes::settings::text(&fakes::settings::Vm {
            name: "own",
            centre: "a",
            ip,
            advertised: None,
            store: SocketAddr::new(ip, 1),
            disk: None,
        });
        let now = Arc::new(AtomicU64::new(1_000_000));
        let settings = settings::parse(&text).unwrap();
        Self {
            node: Node::new(settings, Clock::Manual(now.clone())),
            now,
            registration: Registration::default(),
        }
    }

    fn read_directory(&self, taken: usize) {
        ingest::change_directory(&self.node, |directory| {
            for slot in 0..taken {
                directory.set(entry(&format!("vm-{slot}"), slot, 3));
            }
            directory.raise_revision(5);
        });
    }

    fn step(&mut self) -> Step {
        self.registration.step(&self.node)
    }

    fn wait(&self, pause: Duration) {
        let span = u64::try_from(pause.as_millis()).unwrap();
        self.now.fetch_add(span, Ordering::SeqCst);
    }

    /// Takes steps up to the first call.
    fn next_call(&mut self) -> Step {
        for _ in 0..200 {
            match self.step() {
                Step::Pause(pause) => self.wait(pause),
                call => return call,
            }
        }
        panic!("no call");
    }

    /// Reads a directory without entries and returns the key that the VM would write then.
    fn key_to_write(&mut self) -> String {
        self.read_directory(0);
        assert_eq!(self.next_call(), Step::List);
        self.registration.listed(Ok(()));
        let Step::Write { key, .. } = self.step() else {
            panic!("no entry is written");
        };
        key
    }

    fn write(&mut self, written: edge::Result<Outcome>) -> Duration {
        let Step::Write { key, revision } = self.next_call() else {
            panic!("no entry is written");
        };
        let address = ([127, 0, 0, 1], 7000).into();
        let entry = register::entry(&self.node, key, revision, address);
        self.registration.written(&self.node, entry, LEASE, written)
    }

    fn registered() -> Self {
        let mut setup = Self::new();
        setup.read_directory(1);
        assert_eq!(setup.next_call(), Step::List);
        setup.registration.listed(Ok(()));
        setup.write(Ok(Outcome::Applied(8)));
        setup
    }
}

fn entry(vm: &str, slot: usize, revision: u64) -> Entry {
    Entry {
        key: subject::directory_key("a", slot),
        revision,
        vm: vm.to_owned(),
        centre: "a".to_owned(),
        address: ([127, 0, 0, 2], 7000).into(),
        capacity: 90,
    }
}

/// Dozens of VMs start at once. A VM that finds all slots taken makes no call; otherwise the calls
/// of a start would grow with the number of VMs.
#[test]
fn full_directory_costs_no_call() {
    let mut setup = Setup::new();
    setup.read_directory(SLOTS);
    for _ in 0..100 {
        assert!(matches!(setup.step(), Step::Pause(pause) if !pause.is_zero()));
    }
}

/// Between the first read and the write, larger VMs may have taken the slots. If the VM didn't look
/// again, most VMs of a large deployment would write in vain.
#[test]
fn free_slots_are_read_again_before_writing() {
    let mut setup = Setup::new();
    setup.read_directory(SLOTS - 1);
    assert_eq!(setup.next_call(), Step::List);
    setup.read_directory(SLOTS);
    setup.registration.listed(Ok(()));
    assert!(matches!(setup.step(), Step::Pause(_)));
}

/// Two VMs write to the same slot at once. The loser learns from the refusal who has it and takes
/// another one.
#[test]
fn refused_entry_is_written_to_another_slot() {
    let mut setup = Setup::new();
    let key = setup.key_to_write();
    let winner = Entry {
        key: key.clone(),
        ..entry("winner", 0, 6)
    };
    let present = edge::Entry {
        key: key.clone(),
        value: directory::encode(&winner),
        revision: 6,
    };
    setup.write(Ok(Outcome::Refused(vec![present])));
    assert!(setup.node.directory().lists("winner"));
    assert!(matches!(setup.next_call(), Step::Write { key: other, .. } if other != key));
}

#[test]
fn lease_is_renewed_in_time() {
    let mut setup = Setup::registered();
    let written_at = setup.now.load(Ordering::SeqCst);
    assert_eq!(setup.next_call(), Step::Renew(LEASE));
    let after = setup.now.load(Ordering::SeqCst) - written_at;
    assert_eq!(after, RENEW_INTERVAL.as_u64());
}

/// The service revokes the lease, or lets it expire in an outage. Without its entry, the VM would
/// be no hub any more, and nobody could find it.
#[test]
fn lost_entry_is_written_again() {
    let mut setup = Setup::registered();
    let key = setup.node.directory().entries[1].key.clone();
    ingest::change_directory(&setup.node, |directory| directory.remove(&key, 20));
    assert_eq!(setup.next_call(), Step::List);
    setup.registration.listed(Ok(()));
    assert!(matches!(setup.step(), Step::Write { .. }));
}

/// The service is away. Retries of hundreds of VMs without a pause would keep it busy when it
/// returns.
#[test]
fn failed_calls_are_retried_with_growing_pauses() {
    let mut setup = Setup::new();
    setup.read_directory(1);
    assert_eq!(setup.next_call(), Step::List);
    let fault = Fault::Down("refused".to_owned());
    let first = setup.registration.listed(Err(&fault));
    assert_eq!(setup.next_call(), Step::List);
    let second = setup.registration.listed(Err(&fault));
    assert!(first >= Duration::from_millis(300) && second > first);
}

/// Bytes that can't be read stand in the slot that the VM has chosen. It doesn't learn who has the
/// slot, and would write again at once for as long as they stand there.
#[test]
fn unreadable_entry_is_not_written_against_without_pauses() {
    let mut setup = Setup::new();
    let key = setup.key_to_write();
    let present = edge::Entry {
        key,
        value: b"unreadable".to_vec(),
        revision: 6,
    };
    let pauses: Vec<Duration> = (0..4)
        .map(|_| setup.write(Ok(Outcome::Refused(vec![present.clone()]))))
        .collect();
    assert!(pauses.is_sorted() && pauses[0] < pauses[3], "{pauses:?}");
}

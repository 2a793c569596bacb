use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use adapter::keys;
use adapter::kv::Freshness;
use adapter::kv::Listing;
use adapter::kv::Update;
use adapter::settings;
use platform::edge::Change;
use platform::edge::Entry;
use platform::edge::Fault;
use wire::clock::Clock;
use wire::clock::Millis;

use super::Follower;
use super::Step;
use crate::node::Node;
use crate::subject::Subject;

const START: u64 = 100_000;

/// A VM that reads the configuration itself.
struct Reader {
    node: Arc<Node>,
    now: Arc<AtomicU64>,
    follower: Follower,
}

impl Reader {
    fn new(subject: Subject) -> Self {
        let now = Arc::new(AtomicU64::new(START));
        let settings = settings::parse(&fakes::settings::alone()).unwrap();
        let node = Node::new(settings, Clock::Manual(now.clone()));
        node.note_directory_listed(Freshness::Latest);
        Self {
            node,
            now,
            follower: Follower::new(subject),
        }
    }

    fn pass(&self, millis: u64) {
        self.now.fetch_add(millis, Ordering::SeqCst);
    }

    /// Takes steps until one is a call.
    fn call(&mut self) -> Step {
        loop {
            match self.follower.step(&self.node) {
                Step::Pause(_) => self.pass(50),
                call => return call,
            }
        }
    }

    fn age(&self) -> Option<Millis> {
        self.node.table_with_age().1
    }
}

fn entry(version: u64) -> Entry {
    let document = fakes::store::keyed_configuration(version, "", &[]);
    Entry {
        key: keys::CONFIG.to_owned(),
        value: document.into_bytes(),
        revision: version,
    }
}

fn listing(version: u64) -> Listing {
    Listing {
        entries: vec![entry(version)],
        revision: version,
        ..Listing::default()
    }
}

/// The service answers late. A key may have been taken away after it had made the answer, so the
/// configuration is only known to have been current when the call was sent.
#[test]
fn a_configuration_is_as_old_as_the_call_that_read_it() {
    let mut reader = Reader::new(Subject::Config);
    assert_eq!(reader.call(), Step::List(Freshness::Latest));
    reader.pass(700);
    reader.follower.listed(&reader.node, Ok(listing(1)));
    assert_eq!(reader.age(), Some(Millis::new(700)));
    assert_eq!(reader.call(), Step::Watch(1));
    reader.pass(20_000);
    let nothing = Update::Changes {
        changes: Vec::new(),
        revision: 1,
    };
    reader.follower.watched(&reader.node, Ok(nothing));
    assert_eq!(reader.age(), Some(Millis::new(20_000)));
}

/// The operator's newest configuration can't be read. It may have taken keys away, so the one in
/// force must not pass for current any more.
#[test]
fn an_unreadable_configuration_ends_the_proof() {
    let mut reader = Reader::new(Subject::Config);
    reader.call();
    reader.follower.listed(&reader.node, Ok(listing(1)));
    reader.call();
    reader.pass(1_000);
    let unreadable = Entry {
        value: b"{".to_vec(),
        ..entry(2)
    };
    let update = Update::Changes {
        changes: vec![Change::Set(unreadable)],
        revision: 2,
    };
    reader.follower.watched(&reader.node, Ok(update));
    assert_eq!(reader.age(), Some(Millis::new(1_000)));
    reader.call();
    let update = Update::Changes {
        changes: vec![Change::Set(entry(3))],
        revision: 3,
    };
    reader.follower.watched(&reader.node, Ok(update));
    assert_eq!(reader.age(), Some(Millis::ZERO));
}

/// The service may lose a watch without a word, and nobody would learn of a change until it times
/// out, also where callers need no keys.
#[test]
fn a_configuration_without_keys_is_proved_as_often_as_one_with_keys() {
    let mut config = Reader::new(Subject::Config);
    config.call();
    let document = fakes::store::configuration(1, "");
    let listing = Listing {
        entries: vec![Entry {
            value: document.into_bytes(),
            ..entry(1)
        }],
        revision: 1,
        ..Listing::default()
    };
    config.follower.listed(&config.node, Ok(listing.clone()));
    let mut reader = Reader {
        follower: Follower::new(Subject::Proof),
        ..config
    };
    assert!(matches!(reader.follower.step(&reader.node), Step::Pause(_)));
    reader.pass(1_300);
    assert_eq!(reader.call(), Step::List(Freshness::Latest));
    reader.follower.listed(&reader.node, Ok(listing));
    let nothing = Update::Changes {
        changes: Vec::new(),
        revision: 1,
    };
    assert_eq!(reader.call(), Step::Watch(1));
    let pause = reader.follower.watched(&reader.node, Ok(nothing));
    assert_eq!(pause, reader.node.proof_interval().as_duration());
}

/// A watch fails in an outage. If the next call waited for a change as well, it would be lost in the
/// same outage, and the VM would hear of nothing until its wait is over.
#[test]
fn a_call_that_does_not_wait_follows_a_failed_watch() {
    let mut reader = Reader::new(Subject::Config);
    reader.call();
    reader.follower.listed(&reader.node, Ok(listing(1)));
    assert_eq!(reader.call(), Step::Watch(1));
    let fault = || Fault::Down("no answer in time".to_owned());
    reader.follower.watched(&reader.node, Err(fault()));
    assert_eq!(reader.call(), Step::List(Freshness::Latest));
    reader.follower.listed(&reader.node, Err(fault()));
    assert_eq!(reader.call(), Step::List(Freshness::Latest));
}

/// Until a configuration was read, the follower that reads it is the only one to ask for it.
#[test]
fn no_proof_is_asked_for_before_the_first_configuration() {
    let mut reader = Reader::new(Subject::Proof);
    for _ in 0..100 {
        assert!(matches!(reader.follower.step(&reader.node), Step::Pause(_)));
        reader.pass(100);
    }
}

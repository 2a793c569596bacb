//! Histories that together, or alone, are longer than what a process that has just started may hold.

mod support;

use std::sync::Arc;
use std::time::Duration;

use relay::history;
use relay::history::History;
use relay::node::Node;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body as AskBody;
use replica::message::Chain;
use replica::message::Link;
use replica::record::Key;
use tokio::task::JoinSet;
use tokio::time::sleep;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;

/// Bytes of a turn's text.
const TURN: usize = 480_000;
/// How many turns a VM with a disk returns at once.
const PART_TURNS: u128 = 2;
/// The turns of a long history.
const LONG: u128 = 10;
/// The turns of a history that is longer than all that requests of a process may hold.
const TOO_LONG: u128 = 200;
/// How many turns continue a long history at once: several times as many as fit.
const AT_ONCE: u128 = 32;
/// How long a runner works on a turn.
const WORK: Duration = Duration::from_millis(20);
/// How long a turn waits for its history.
const WAIT: Millis = Millis::new(30_000);
/// How many keys a conversation has.
const KEYS: u128 = 1_000;

/// Returns the key of a conversation's turn; its first one has the number 1.
fn key(conversation: u128, turn: u128) -> Key {
    Key(conversation * KEYS + turn)
}

async fn answer(ask: Ask) -> Answer {
    let AskBody::Chain(Key(last)) = ask.body else {
        panic!("only chains are asked for");
    };
    let count = (last % KEYS).min(PART_TURNS);
    let keys = (0..count).map(|earlier| Key(last - earlier));
    let links = keys.map(|key| Link {
        key,
        text: vec![b'x'; TURN].into(),
    });
    Answer::Chain(Chain {
        turns: links.collect(),
        next: (last % KEYS > count).then(|| Key(last - count)),
    })
}

/// Returns a process that has just started and reaches members that hold any turn.
async fn start() -> Arc<Node> {
    support::node_with_members(1, answer).await
}

/// Loads histories, each of which is held for some work. Returns them with the most bytes that were held.
async fn load_all(
    node: &Arc<Node>,
    lasts: impl Iterator<Item = Key>,
) -> (Vec<Result<u128, Refusal>>, u64) {
    let mut loads = JoinSet::new();
    for last in lasts {
        let node = node.clone();
        loads.spawn(async move {
            let history: History = history::load(&node, "t", last, 0, WAIT).await?;
            sleep(WORK).await;
            Ok(history.texts.len() as u128)
        });
    }
    let mut most = 0;
    let watched = node.clone();
    let watch = async {
        loop {
            most = watched.holdings.figures().bytes.max(most);
            sleep(Duration::from_millis(1)).await;
        }
    };
    let joined = tokio::select! {
        joined = loads.join_all() => joined,
        () = watch => unreachable!("it watches without end"),
    };
    (joined, most)
}

/// Guards against a process that has just started, knows nothing of how long histories are, and reads more of
/// them at once than its memory holds. None is refused, as each has the time to wait for the others.
#[tokio::test(flavor = "multi_thread")]
async fn long_histories_wait_for_each_other() {
    let node = start().await;
    let lasts = (0..AT_ONCE).map(|conversation| key(conversation, LONG));
    let (loaded, most) = load_all(&node, lasts).await;
    assert!(
        most <= node.holdings.total(),
        "{most} bytes were held of {}",
        node.holdings.total()
    );
    assert_eq!(loaded, vec![Ok(LONG); loaded.len()]);
    assert_eq!(node.holdings.figures().bytes, 0);
}

/// Guards against a single history that takes more than the memory that there is.
#[tokio::test(flavor = "multi_thread")]
async fn a_history_longer_than_the_memory_is_refused() {
    let node = start().await;
    let (loaded, most) = load_all(&node, std::iter::once(key(0, TOO_LONG))).await;
    assert!(
        most <= node.holdings.total(),
        "{most} bytes were held of {}",
        node.holdings.total()
    );
    let refusal = loaded[0].clone().unwrap_err();
    assert_eq!(refusal.code, Code::HistoryTooLong);
    assert_eq!((refusal.ran, refusal.retry_after), (Ran::No, None));
    assert_eq!(node.holdings.figures().bytes, 0);
}

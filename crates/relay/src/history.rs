//! Reads the history of a turn: cached turns from memory, the others from the VMs with a disk.

use std::sync::Arc;

use bytes::Bytes;
use policy::memory::Step;
use replica::client::Fault;
use replica::client::Found;
use replica::inquiry::Inquiry;
use replica::record::Key;
use tokio::time::Instant;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;

use crate::account;
use crate::held::Held;
use crate::member_health;
use crate::node::Node;

/// When a turn whose history couldn't be read may be retried: about the time in which a VM with a
/// disk restarts or a partition is noticed, and short compared to a program's run time.
const RETRY_DELAY: Millis = Millis::new(300);
/// How often the texts of an answer are held while it is decoded.
const COPIES: u64 = 2;
/// By which factor a claim grows that was too small: what is read in vain stays below what is read in the end.
const GROWTH: u64 = 2;

/// The turns that a turn continues from, with the memory that they hold.
#[derive(Debug, Default)]
pub struct History {
    /// Their texts, oldest first.
    pub texts: Vec<Bytes>,
    _held: Option<Held>,
}

/// What came of reading a history.
enum Outcome {
    /// Its texts, the newest first.
    Whole(Vec<Bytes>),
    /// There was no room for all of them.
    Outgrown,
}

/// The memory for a history while it is read.
struct Room {
    held: Held,
    /// The bytes of the texts that were read.
    texts: u64,
    /// The most bytes that were asked for.
    needed: u64,
}

impl Room {
    const fn new(held: Held) -> Self {
        Self {
            held,
            texts: 0,
            needed: 0,
        }
    }

    /// Returns whether there is room for bytes beside the texts that were read.
    fn admits(&mut self, bytes: u64) -> bool {
        let needed = self.texts + bytes;
        self.needed = self.needed.max(needed);
        self.held.extend_to(needed)
    }

    /// Holds the texts only.
    fn close(mut self, mut texts: Vec<Bytes>) -> History {
        texts.reverse();
        self.held.resize(self.texts);
        History {
            texts,
            _held: Some(self.held),
        }
    }
}

/// Returns the texts of a turn and of all turns that it continued from, for a request, once there is memory for
/// them. Waits for it at most for `wait`.
///
/// Each part is read only once its bytes are held. If they aren't free beside the claim, what was read is given
/// up and all is claimed anew, twice as much as was needed by then, so that nobody who holds bytes waits.
///
/// # Errors
///
/// Refuses with "no such turn" only if that is certain, and otherwise asks the caller to retry, unless the texts
/// take more than all requests may.
pub async fn load(
    node: &Arc<Node>,
    request: &str,
    last: Key,
    rank: u8,
    wait: Millis,
) -> Result<History, Refusal> {
    let deadline = Instant::now() + wait.as_duration();
    let limit = node.holdings.limit();
    let mut expected = expected_bytes(node, last);
    loop {
        let claimed = expected.min(limit);
        let left = Millis::from(deadline.saturating_duration_since(Instant::now()));
        let claim = node.holdings.claim(Step::Work, rank, claimed, left);
        let mut room = Room::new(claim.await?);
        let outcome = Box::pin(read_into(node, request, last, &mut room)).await?;
        let needed = room.needed;
        node.holdings.note_history(needed);
        match outcome {
            Outcome::Whole(texts) => return Ok(room.close(texts)),
            Outcome::Outgrown if claimed < limit && needed <= node.holdings.total() => {
                expected = needed.saturating_mul(GROWTH);
            }
            Outcome::Outgrown => return Err(no_room(node, needed)),
        }
    }
}

/// Returns the texts of a turn and of all turns that it continued from, for a request, if memory for them is free.
/// For who may claim some later.
///
/// # Errors
///
/// As [`load`].
pub async fn read(node: &Arc<Node>, request: &str, last: Key) -> Result<History, Refusal> {
    let mut room = Room::new(node.holdings.hold_nothing());
    match Box::pin(read_into(node, request, last, &mut room)).await? {
        Outcome::Whole(texts) => Ok(room.close(texts)),
        Outcome::Outgrown => Err(no_room(node, room.needed)),
    }
}

fn no_room(node: &Node, needed: u64) -> Refusal {
    let total = node.holdings.total();
    if needed > total {
        let detail = format!("it takes {needed} bytes of {total} at least");
        return Refusal::new(Code::HistoryTooLong, &detail);
    }
    let held = node.holdings.figures().bytes;
    let detail = format!("{held} bytes are held, and the history takes {needed} at least");
    Refusal::new(Code::MemoryTaken, &detail).retry_after(RETRY_DELAY)
}

/// Returns the bytes to expect of a history while it is read: those of cached turns, as they may leave the cache
/// meanwhile, and if there are others, at least those that the last histories took.
fn expected_bytes(node: &Node, last: Key) -> u64 {
    let turns = node.turns();
    let mut cached = 0;
    let mut next = Some(last);
    while let Some(key) = next {
        let Some(kept) = turns.find(key) else {
            return node.holdings.expected_history().max(cached);
        };
        cached += kept.text.len() as u64;
        next = kept.previous;
    }
    cached
}

async fn read_into(
    node: &Arc<Node>,
    request: &str,
    last: Key,
    room: &mut Room,
) -> Result<Outcome, Refusal> {
    let mut texts = Vec::new();
    let mut next = Some(last);
    while let Some(key) = next {
        let cached = node.turns().find(key);
        if let Some(kept) = cached {
            let bytes = kept.text.len() as u64;
            if !room.admits(bytes) {
                return Ok(Outcome::Outgrown);
            }
            room.texts += bytes;
            texts.push(kept.text);
            next = kept.previous;
            continue;
        }
        let mut inquiry = Inquiry::default();
        let may_read = |bytes: u64| room.admits(bytes.saturating_mul(COPIES));
        let found = node.replicas.chain(key, &mut inquiry, may_read).await;
        if matches!(found, Ok(Found::Absent) | Err(_)) {
            log_not_found(request, key, &inquiry);
        }
        match found {
            Ok(Found::Part(links, after)) => {
                let mut turns = node.turns();
                for (at, link) in links.iter().enumerate() {
                    let previous = links.get(at + 1).map(|link| link.key).or(after);
                    turns.insert(link.key, link.text.clone(), previous);
                    room.texts += link.text.len() as u64;
                    texts.push(link.text.clone());
                }
                next = after;
            }
            Ok(Found::Unread) => return Ok(Outcome::Outgrown),
            Ok(Found::Absent) if key == last => {
                return Err(Refusal::new(Code::UnknownTurn, ""));
            }
            Ok(Found::Absent) => {
                let refusal = Refusal::new(Code::RecordsUnreachable, "an earlier turn is missing");
                return Err(refusal.retry_after(RETRY_DELAY));
            }
            Err(fault @ Fault::RecordsLost(left)) => {
                return Err(account::records_lost(&fault, left));
            }
            Err(fault) => {
                // If the members are lost, the following turns are refused at once, and the log
                // names the members before it shows this refusal.
                member_health::suspect(node, &fault).await;
                let detail = member_health::detail(node, &fault);
                let refusal = Refusal::new(Code::RecordsUnreachable, &detail);
                let delay = node.member_health().retry_after(node.clock.now());
                return Err(refusal.retry_after(delay));
            }
        }
    }
    Ok(Outcome::Whole(texts))
}

/// Logs what each member said of a turn that wasn't found.
fn log_not_found(request: &str, key: Key, inquiry: &Inquiry) {
    log::warn!(
        "event=E{} text=\"{}\" request={request} {inquiry} turn={:x}",
        Event::TurnNotFound.number(),
        Event::TurnNotFound.text(),
        key.0
    );
}

#[cfg(test)]
mod tests;

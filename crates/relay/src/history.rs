//! Reads the history of a turn: cached turns from memory, the others from the VMs with a disk.

use std::sync::Arc;

use bytes::Bytes;
use policy::memory::Step;
use replica::client::Found;
use replica::inquiry::Inquiry;
use replica::record::Key;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;

use crate::held::Held;
use crate::member_health;
use crate::node::Node;

/// When a turn whose history couldn't be read may be retried: about the time in which a VM with a
/// disk restarts or a partition is noticed, and short compared to a program's run time.
const RETRY_DELAY: Millis = Millis::new(300);
/// How often the texts of an answer are held while it is decoded.
const COPIES: u64 = 2;

/// The turns that a turn continues from, with the memory that they hold.
#[derive(Debug, Default)]
pub struct History {
    /// Their texts, oldest first.
    pub texts: Vec<Bytes>,
    _held: Option<Held>,
}

/// Returns the texts of a turn and of all turns that it continued from, for a request, once there is memory for
/// them. Waits for it at most for `wait`.
///
/// # Errors
///
/// Refuses with "no such turn" only if that is certain, and otherwise asks the caller to retry.
pub async fn load(
    node: &Arc<Node>,
    request: &str,
    last: Key,
    rank: u8,
    wait: Millis,
) -> Result<History, Refusal> {
    let bytes = expected_bytes(node, last).min(node.holdings.limit());
    let mut held = node.holdings.claim(Step::Work, rank, bytes, wait).await?;
    let texts = read(node, request, last).await?;
    let bytes = texts.iter().map(|text| text.len() as u64).sum();
    node.holdings.note_history(bytes);
    held.resize(bytes);
    Ok(History {
        texts,
        _held: Some(held),
    })
}

/// Returns the bytes to expect of a history: those of cached turns once, as they may leave the cache
/// meanwhile, and those of others twice, as they are read and then decoded.
fn expected_bytes(node: &Node, last: Key) -> u64 {
    let turns = node.turns();
    let mut cached = 0;
    let mut next = Some(last);
    while let Some(key) = next {
        let Some(kept) = turns.find(key) else {
            let expected = node.holdings.expected_history();
            return cached + expected.saturating_sub(cached) * COPIES;
        };
        cached += kept.text.len() as u64;
        next = kept.previous;
    }
    cached
}

/// Returns the texts of a turn and of all turns that it continued from, oldest first, for a request.
///
/// # Errors
///
/// As [`load`].
pub async fn read(node: &Arc<Node>, request: &str, last: Key) -> Result<Vec<Bytes>, Refusal> {
    let mut texts = Vec::new();
    let mut next = Some(last);
    while let Some(key) = next {
        let cached = node.turns().find(key);
        if let Some(kept) = cached {
            texts.push(kept.text);
            next = kept.previous;
            continue;
        }
        let mut inquiry = Inquiry::default();
        let found = node.replicas.look_up(key, &mut inquiry).await;
        if !matches!(found, Ok(Found::Part(..))) {
            log_not_found(request, key, &inquiry);
        }
        match found {
            Ok(Found::Part(links, after)) => {
                let mut turns = node.turns();
                for (at, link) in links.iter().enumerate() {
                    let previous = links.get(at + 1).map(|link| link.key).or(after);
                    turns.insert(link.key, link.text.clone(), previous);
                    texts.push(link.text.clone());
                }
                next = after;
            }
            Ok(Found::Absent) if key == last => {
                return Err(Refusal::new(Code::UnknownTurn, ""));
            }
            Ok(Found::Absent) => {
                let refusal = Refusal::new(Code::RecordsUnreachable, "an earlier turn is missing");
                return Err(refusal.retry_after(RETRY_DELAY));
            }
            Err(fault) => {
                // If the members are lost, the following turns are refused at once, and the log
                // names the members before it shows this refusal.
                member_health::suspect(node, &fault).await;
                let refusal = Refusal::new(Code::RecordsUnreachable, &fault.to_string());
                return Err(refusal.retry_after(RETRY_DELAY));
            }
        }
    }
    texts.reverse();
    Ok(texts)
}

/// Logs what each member said of a turn that wasn't found.
fn log_not_found(request: &str, key: Key, inquiry: &Inquiry) {
    log::warn!(
        "event=E{} text=\"{}\" request={request} turn={:x} {inquiry}",
        Event::TurnNotFound.number(),
        Event::TurnNotFound.text(),
        key.0
    );
}

#[cfg(test)]
mod tests;

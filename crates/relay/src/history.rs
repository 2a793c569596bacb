//! Reads the history of a turn: cached turns from memory, the others from the VMs with a disk.

use std::sync::Arc;

use bytes::Bytes;
use replica::client::Found;
use replica::record::Key;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::member_health;
use crate::node::Node;

/// When a turn whose history couldn't be read may be retried: about the time in which a VM with a
/// disk restarts or a partition is noticed, and short compared to a program's run time.
const RETRY_DELAY: Millis = Millis::new(300);

/// Returns the texts of a turn and of all turns that it continued from, oldest first.
///
/// # Errors
///
/// Refuses with "no such turn" only if that is certain, and otherwise asks the caller to retry.
pub async fn load(node: &Arc<Node>, last: Key) -> Result<Vec<Bytes>, Refusal> {
    let mut texts = Vec::new();
    let mut next = Some(last);
    while let Some(key) = next {
        let cached = node.turns().find(key);
        if let Some(kept) = cached {
            texts.push(kept.text);
            next = kept.previous;
            continue;
        }
        match node.replicas.chain(key).await {
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
                // names the members before it has this refusal.
                member_health::suspect(node, &fault).await;
                let refusal = Refusal::new(Code::RecordsUnreachable, &fault.to_string());
                return Err(refusal.retry_after(RETRY_DELAY));
            }
        }
    }
    texts.reverse();
    Ok(texts)
}

#[cfg(test)]
mod tests;

//! Histories of kept turns: what is at hand, and the rest from the VMs with a disk.

use std::sync::Arc;

use bytes::Bytes;
use replica::client::Found;
use replica::record::Key;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::member_health;
use crate::node::Node;

/// When a turn whose history couldn't be read may come again: about the time in which a VM with a
/// disk restarts or a cut is noticed, and short beside a program's time.
const RETRY: Millis = Millis::new(300);

/// Puts together the texts of a turn and of all that it continued from, the oldest first.
///
/// # Errors
///
/// Refuses with "no such turn" only where that is certain, and otherwise asks to come again.
pub async fn whole(node: &Arc<Node>, last: Key) -> Result<Vec<Bytes>, Refusal> {
    let mut texts = Vec::new();
    let mut next = Some(last);
    while let Some(key) = next {
        let at_hand = node.turns().find(key);
        if let Some(kept) = at_hand {
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
                return Err(refusal.retry_after(RETRY));
            }
            Err(fault) => {
                // The next turns are refused at once where the members are lost, and the log names
                // them before it has this refusal.
                member_health::suspect(node, &fault).await;
                let refusal = Refusal::new(Code::RecordsUnreachable, &fault.to_string());
                return Err(refusal.retry_after(RETRY));
            }
        }
    }
    texts.reverse();
    Ok(texts)
}

#[cfg(test)]
mod tests;

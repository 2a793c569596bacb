//! The records of refused contents in the key-value service, those of each width under a prefix of
//! their own, as processes that don't know a width must not read them. VMs that start, all at once after a
//! loss of power, or without hearing any other one, learn of it from there.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use adapter::keys;
use platform::edge;
use platform::edge::Compare;
use platform::edge::Entry;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use policy::crash::Content;
use policy::crash::Incarnation;
use policy::crash::Ledger;
use policy::crash::Outcome;
use policy::crash::RETENTION;
use policy::crash::Report;
use policy::crash::Scope;
use policy::crash::Width;
use tokio::time::sleep;
use wire::clock::Millis;

use crate::crashes::Break;
use crate::crashes::WIDTHS;
use crate::metrics::Call;
use crate::node::Node;
use crate::store_call;

/// The pause between two tries to write a record.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// How often a record is tried to be written. The service may be away for half a minute.
const MAX_TRIES: u32 = 40;
/// The most crashes that a record holds; fewer suffice at any width.
const MAX_EVIDENCE: usize = 16;

/// What is refused, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Record {
    /// The digest of what is refused.
    content: Content,
    width: Width,
    /// The crashes that accuse it.
    evidence: Vec<Report>,
}

impl Record {
    /// Builds the record of what a break got refused.
    pub(super) fn of(ledger: &Ledger, broken: &Break, width: Width) -> Self {
        let content = match width {
            Width::Exact => broken.content,
            Width::Body => broken.wider.body,
            Width::Resource => broken.wider.resource,
        };
        let mut evidence = ledger.evidence(broken.content, Some(broken.wider), width);
        evidence.truncate(MAX_EVIDENCE);
        Self {
            content,
            width,
            evidence,
        }
    }

    fn key(&self) -> String {
        format!("{}{}", prefix(self.width), self.content)
    }

    /// Encodes the value of the entry: the numbers of the lives that ended; at a wider width with the
    /// digests of what ran there, one a line.
    fn value(&self) -> Vec<u8> {
        let lines = self.evidence.iter().filter_map(|report| {
            let Outcome::Crashed(Incarnation(number)) = report.outcome else {
                return None;
            };
            Some(match report.wider {
                Some(wider) if self.width != Width::Exact => {
                    let Scope { body, resource } = wider;
                    format!("{} {body} {resource} {number}", report.content)
                }
                Some(_) | None => number.to_string(),
            })
        });
        let lines: Vec<String> = lines.collect();
        let separator = match self.width {
            Width::Exact => " ",
            Width::Body | Width::Resource => "\n",
        };
        lines.join(separator).into_bytes()
    }
}

/// Writes the record of what has just been refused, in the background.
pub(super) fn write(node: &Arc<Node>, record: Record) {
    let node = node.clone();
    tokio::spawn(async move {
        for _ in 0..MAX_TRIES {
            if try_write(&node, &record).await.is_ok() {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    });
}

/// Writes the record unless another VM has.
async fn try_write(node: &Node, record: &Record) -> edge::Result<()> {
    let lease = store_call::made(node, Call::Grant, node.kv.grant(RETENTION)).await?;
    let key = record.key();
    let txn = Txn {
        compares: vec![Compare {
            key: key.clone(),
            revision: 0,
        }],
        writes: vec![Write::Put {
            key,
            value: record.value(),
            lease: Some(lease),
        }],
    };
    let commit = node.kv.commit(&txn, Priority::Background);
    store_call::made(node, Call::Write, commit).await?;
    Ok(())
}

/// Applies a record, if the entry is one. Returns whether it is.
pub fn apply(node: &Node, entry: &Entry) -> bool {
    let is_of = |width: &Width| entry.key.starts_with(&prefix(*width));
    let Some(width) = WIDTHS.into_iter().find(is_of) else {
        return false;
    };
    let name = &entry.key[prefix(width).len()..];
    let Some(evidence) = decode(width, name, &entry.value) else {
        log::warn!(
            "text=\"a record of a refused content can't be decoded\" key={}",
            entry.key
        );
        return true;
    };
    let now = node.clock.now();
    for report in evidence {
        node.crashes().ledger.note(report, now);
    }
    true
}

/// Returns what the keys of a width's records begin with.
fn prefix(width: Width) -> String {
    let name = match width {
        Width::Exact => "refused",
        Width::Body => "refused-body",
        Width::Resource => "refused-resource",
    };
    format!("{}{name}/", keys::OWN)
}

fn decode(width: Width, name: &str, value: &[u8]) -> Option<Vec<Report>> {
    let content = decode_content(name)?;
    let value = std::str::from_utf8(value).ok()?;
    match width {
        Width::Exact => {
            let numbers = value.split(' ');
            numbers
                .map(|number| report(content, None, number))
                .collect()
        }
        Width::Body | Width::Resource => value.split('\n').map(decode_line).collect(),
    }
}

fn decode_line(line: &str) -> Option<Report> {
    let fields: Vec<&str> = line.split(' ').collect();
    let [content, body, resource, number] = fields[..] else {
        return None;
    };
    let wider = Scope {
        body: decode_content(body)?,
        resource: decode_content(resource)?,
    };
    report(decode_content(content)?, Some(wider), number)
}

fn decode_content(digits: &str) -> Option<Content> {
    u128::from_str_radix(digits, 16).ok().map(Content)
}

fn report(content: Content, wider: Option<Scope>, number: &str) -> Option<Report> {
    let number = u64::from_str(number).ok()?;
    Some(Report {
        content,
        wider,
        outcome: Outcome::Crashed(Incarnation(number)),
        age: Millis::ZERO,
    })
}

#[cfg(test)]
mod tests;

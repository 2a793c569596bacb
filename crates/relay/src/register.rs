//! Maintains a VM's own entry in the directory, if the directory has room for it.
//!
//! [`step`] decides on the next call and on the pauses; this module makes the calls.

pub mod step;

use std::net::SocketAddr;
use std::sync::Arc;

use adapter::kv::Freshness;
use platform::edge;
use platform::edge::Compare;
use platform::edge::Lease;
use platform::edge::Outcome;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use tokio::time::sleep;

use crate::directory;
use crate::directory::Entry;
use crate::ingest;
use crate::metrics::Call;
use crate::node::Node;
use crate::register::step::LEASE_TTL;
use crate::register::step::Registration;
use crate::register::step::Step;
use crate::store_call;
use crate::subject::Subject;

/// Keeps this VM's entry in the directory for as long as it is polled.
pub async fn run(node: Arc<Node>, address: SocketAddr) {
    let mut registration = Registration::default();
    loop {
        let pause = match registration.step(&node) {
            Step::Pause(pause) => pause,
            Step::List => {
                let listed = list(&node).await;
                registration.listed(listed.as_ref().copied())
            }
            Step::Write { key, revision } => {
                let entry = entry(&node, key, revision, address);
                match grant(&node).await {
                    Ok(lease) => {
                        let written = write(&node, &entry, lease).await;
                        registration.written(&node, entry, lease, written)
                    }
                    Err(_) => registration.failed(),
                }
            }
            Step::Renew(lease) => {
                let renewal = node.kv.renew(lease);
                let renewed = store_call::made(&node, Call::Renew, renewal).await;
                registration.renewed(&node, &renewed)
            }
        };
        sleep(pause).await;
    }
}

async fn list(node: &Arc<Node>) -> edge::Result<()> {
    let listing = node.kv.list(Subject::Own.prefix(), Freshness::Latest);
    let listing = store_call::made(node, Call::ListOwn, listing).await?;
    ingest::listing(node, Subject::Own, listing);
    node.note_directory_listed(Freshness::Latest);
    Ok(())
}

async fn grant(node: &Node) -> edge::Result<Lease> {
    store_call::made(node, Call::Grant, node.kv.grant(LEASE_TTL)).await
}

async fn write(node: &Node, entry: &Entry, lease: Lease) -> edge::Result<Outcome> {
    let txn = transaction(entry, lease);
    let commit = node.kv.commit(&txn, Priority::Claim);
    store_call::made(node, Call::Write, commit).await
}

/// Builds this VM's entry for a key that has a revision.
#[must_use]
pub fn entry(node: &Node, key: String, revision: u64, address: SocketAddr) -> Entry {
    let settings = &node.settings;
    Entry {
        key,
        revision,
        vm: settings.vm.clone(),
        centre: settings.centre.clone(),
        address,
        capacity: settings.capacity,
    }
}

/// Builds the transaction that writes an entry unless its key has changed.
#[must_use]
pub fn transaction(entry: &Entry, lease: Lease) -> Txn {
    Txn {
        compares: vec![Compare {
            key: entry.key.clone(),
            revision: entry.revision,
        }],
        writes: vec![Write::Put {
            key: entry.key.clone(),
            value: directory::encode(entry),
            lease: Some(lease),
        }],
    }
}

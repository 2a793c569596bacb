//! Maintains a VM's own entry in the key-value service, by which the other VMs find it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use platform::edge::Lease;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;

use crate::metrics::Counter;
use crate::metrics::Latency;
use crate::node::Node;
use crate::subject;

/// How long a VM's entry lasts without renewal. Long compared to a short outage of the service,
/// because a dead VM costs its peers only unanswered messages.
pub const LEASE_TTL: Millis = Millis::new(8_000);
/// Interval of renewals: three times within the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(2_500);

/// Keeps this VM's entry in the key-value service for as long as it is polled.
pub async fn run(node: Arc<Node>, address: SocketAddr) {
    let mut lease: Option<Lease> = None;
    loop {
        node.metrics.count(Counter::StoreCalls);
        let begun = Instant::now();
        lease = match lease {
            Some(held) => match node.kv.renew(held).await {
                Ok(true) => Some(held),
                Ok(false) => None,
                Err(fault) => {
                    node.metrics.count(Counter::StoreFailures);
                    log::debug!("lease not renewed: {fault}");
                    Some(held)
                }
            },
            None => match write_entry(&node, address).await {
                Ok(lease) => Some(lease),
                Err(fault) => {
                    node.metrics.count(Counter::StoreFailures);
                    log::debug!("entry not written: {fault}");
                    None
                }
            },
        };
        node.metrics
            .record(Latency::StoreCall, Millis::from(begun.elapsed()));
        sleep(RENEW_INTERVAL).await;
    }
}

async fn write_entry(node: &Node, address: SocketAddr) -> platform::edge::Result<Lease> {
    let lease = node.kv.grant(LEASE_TTL).await?;
    let value = format!("{address} {}", node.settings.centre);
    let put = Write::Put {
        key: format!("{}{}", subject::vm_prefix(), node.settings.vm),
        value: value.into_bytes(),
        lease: Some(lease),
    };
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![put],
    };
    node.kv.commit(&txn, Priority::Claim).await?;
    Ok(lease)
}

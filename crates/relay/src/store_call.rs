//! Counts and measures the calls of the key-value service.

use platform::edge;
use tokio::time::Instant;
use wire::clock::Millis;

use crate::metrics::Call;
use crate::metrics::Counter;
use crate::metrics::Latency;
use crate::node::Node;

/// Makes a call and returns its answer. Watches are counted and not timed, because they wait for a
/// change.
///
/// # Errors
///
/// Fails as the call does.
pub async fn made<T>(
    node: &Node,
    call: Call,
    answer: impl Future<Output = edge::Result<T>>,
) -> edge::Result<T> {
    let begun = Instant::now();
    node.metrics.count_store_call(call);
    let answer = answer.await;
    if !call.is_watch() {
        let took = Millis::from(begun.elapsed());
        node.metrics.record(Latency::StoreCall, took);
    }
    if let Err(fault) = &answer {
        node.metrics.count(Counter::StoreFailures);
        log::debug!("{}: {fault}", call.name());
    }
    answer
}

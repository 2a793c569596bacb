//! Follows the keys that operators and runners write into the key-value service.
//!
//! [`step`] decides on the next call and on the pauses; this module makes the calls.

mod outage;
pub mod step;

use std::sync::Arc;

use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;

use crate::follow::step::Follower;
use crate::follow::step::Step;
use crate::metrics::Counter;
use crate::metrics::Latency;
use crate::node::Node;
use crate::subject::Subject;

/// Follows a subject for as long as it is polled.
pub async fn run(node: Arc<Node>, subject: Subject) {
    let mut follower = Follower::new(subject);
    loop {
        let pause = match follower.step(&node) {
            Step::Pause(pause) => pause,
            Step::List(freshness) => {
                let begun = Instant::now();
                let listed = node.kv.list(subject.prefix(), freshness).await;
                node.metrics.count(Counter::StoreCalls);
                let took = Millis::from(begun.elapsed());
                node.metrics.record(Latency::StoreCall, took);
                follower.listed(&node, listed)
            }
            Step::Watch(revision) => {
                let news = node
                    .kv
                    .changes(subject.prefix(), revision, subject.watch_timeout());
                let news = news.await;
                node.metrics.count(Counter::StoreCalls);
                follower.watched(&node, news)
            }
        };
        sleep(pause).await;
    }
}

//! Follows the keys that operators and runners write into the key-value service.
//!
//! [`step`] decides on the next call and on the pauses; this module makes the calls.

mod outage;
pub mod step;

use std::sync::Arc;

use tokio::time::sleep;

use crate::follow::step::Follower;
use crate::follow::step::Step;
use crate::node::Node;
use crate::store_call;
use crate::subject::Subject;

/// Follows a subject for as long as it is polled.
pub async fn run(node: Arc<Node>, subject: Subject) {
    let mut follower = Follower::new(subject);
    loop {
        let pause = match follower.step(&node) {
            Step::Pause(pause) => pause,
            Step::List(freshness) => {
                let listing = node.kv.list(subject.prefix(), freshness);
                let call = subject.list_call(freshness);
                let listed = store_call::made(&node, call, listing).await;
                follower.listed(&node, listed)
            }
            Step::Watch(revision) => {
                let update = node
                    .kv
                    .changes(subject.prefix(), revision, subject.watch_timeout());
                let update = store_call::made(&node, subject.watch_call(), update).await;
                follower.watched(&node, update)
            }
        };
        sleep(pause).await;
    }
}

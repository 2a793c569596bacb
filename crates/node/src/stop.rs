//! Takes a node apart within its grace, in the order that its work needs.
//!
//! What may outlast the process is refused ([`crate::filters`]), the shards are given up when what
//! runs of them is done, and the callers' listener closes. The controllers and the other listeners
//! end last: forwarded answers need news of their owners, waiting calls someone to give them up.

use std::sync::Arc;
use std::time::Duration;

use policy::stop::Activity;
use policy::stop::Stop;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::event::Event;

use crate::core::Core;

/// How often a lingering node looks at the time.
const LOOK: Duration = Duration::from_millis(50);

/// Stops a node. Returns when all its tasks have ended, or the time for them is over.
pub async fn run(core: &Arc<Core>) {
    log::info!("{} vm={}", Event::NodeStopping, core.settings.vm.name);
    let begun = Stop::new(core.clock.now(), core.settings.limits.grace);
    let stop = *core.stop.get_or_init(|| begun);
    core.stopping.cancel();
    core.update(|view| view.stopping = true);
    let left = stop.left(core.clock.now()).as_duration();
    if timeout(left, release_all(core)).await.is_err() {
        warn("shards still busy at the end of the grace");
    }
    linger(core, stop).await;
    core.closing.cancel();
    core.work.close();
    let left = stop.left(core.clock.now()).as_duration();
    if timeout(left, core.work.wait()).await.is_err() {
        warn("requests still busy at the end of the grace");
        core.expired.cancel();
        let _cut = timeout(part(&stop), core.work.wait()).await;
    }
    core.stopped.cancel();
    core.tasks.close();
    let left = stop.left(core.clock.now()).as_duration();
    let left = left.max(part(&stop));
    if timeout(left, core.tasks.wait()).await.is_err() {
        warn("tasks still busy at the end of the grace");
    }
    log::info!("{} vm={}", Event::NodeStopped, core.settings.vm.name);
}

/// Gives all shards up at once, each when what runs of it is done.
async fn release_all(core: &Arc<Core>) {
    let mut releases = JoinSet::new();
    for owned in core.registry.owned() {
        let core = core.clone();
        releases.spawn(async move { core.registry.release(&owned.shard).await });
    }
    while releases.join_next().await.is_some() {}
}

/// Lives on until the balancer sends elsewhere: callers that it still sends would find no listener,
/// and requests on kept connections would be lost with them.
async fn linger(core: &Core, stop: Stop) {
    while !stop.is_over(core.clock.now(), Activity::Idle) {
        sleep(LOOK).await;
    }
}

/// Yields the time that the last words take at most, and the controllers' end as much again: a
/// third of what is left then, so that the process itself ends in the last one.
fn part(stop: &Stop) -> Duration {
    stop.killed().since(stop.deadline()).as_duration() / 3
}

fn warn(reason: &str) {
    log::warn!("{} reason={reason:?}", Event::NodeStopping);
}

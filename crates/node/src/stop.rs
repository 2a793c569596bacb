//! Shuts a node down within its grace.
//!
//! New requests that may outlast the process are refused ([`crate::filters`]). Each shard is
//! released when its running work is done, and then the callers' listener closes. The controllers
//! and the other listeners end last, because forwarded answers need news of their owners, and
//! waiting calls must be given up in time.

use std::sync::Arc;
use std::time::Duration;

use policy::stop::Activity;
use policy::stop::Stop;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::event::Event;

use crate::core::Core;

/// How often a node checks whether the callers' listener may close.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops a node. Returns when all its tasks have ended or their time is over.
pub async fn run(core: &Arc<Core>) {
    log::info!("{} vm={}", Event::NodeStopping, core.settings.vm.name);
    let new = Stop::new(core.clock.now(), core.settings.limits.grace);
    let stop = *core.stop.get_or_init(|| new);
    core.stopping.cancel();
    core.update(|view| view.stopping = true);
    let remaining = stop.left(core.clock.now()).as_duration();
    if timeout(remaining, release_all(core)).await.is_err() {
        warn("shards still busy at the end of the grace");
    }
    wait_for_balancer(core, stop).await;
    core.closing.cancel();
    core.work.close();
    let remaining = stop.left(core.clock.now()).as_duration();
    if timeout(remaining, core.work.wait()).await.is_err() {
        warn("requests still busy at the end of the grace");
        core.expired.cancel();
        let _cut = timeout(phase_time(&stop), core.work.wait()).await;
    }
    core.stopped.cancel();
    core.tasks.close();
    let remaining = stop.left(core.clock.now()).as_duration();
    let remaining = remaining.max(phase_time(&stop));
    if timeout(remaining, core.tasks.wait()).await.is_err() {
        warn("tasks still busy at the end of the grace");
    }
    log::info!("{} vm={}", Event::NodeStopped, core.settings.vm.name);
}

/// Releases all shards concurrently, each when its running work is done.
async fn release_all(core: &Arc<Core>) {
    let mut releases = JoinSet::new();
    for owned in core.registry.owned() {
        let core = core.clone();
        releases.spawn(async move { core.registry.release(&owned.shard).await });
    }
    while releases.join_next().await.is_some() {}
}

/// Waits until the load balancer has stopped sending requests here. Otherwise new callers would
/// find no listener, and requests on open connections would be lost.
async fn wait_for_balancer(core: &Core, stop: Stop) {
    while !stop.is_over(core.clock.now(), Activity::Idle) {
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the time limit for sending the last refusals, and again for ending the controllers. Each
/// gets a third of the time between the deadline and the kill, so that the last third is left for
/// the process to exit.
fn phase_time(stop: &Stop) -> Duration {
    stop.killed().since(stop.deadline()).as_duration() / 3
}

fn warn(reason: &str) {
    log::warn!("{} reason={reason:?}", Event::NodeStopping);
}

//! What every part of one node shares.

use std::sync::Arc;
use std::sync::OnceLock;

use platform::edge::Platform;
use policy::stop::Stop;
use settings::vm::Settings;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::clock::Clock;

use crate::controllers::Control;
use crate::dispatch::scheduler::Scheduler;
use crate::http::client::Client;
use crate::http::listen::Door;
use crate::metrics::Metrics;
use crate::owner::poison::Poison;
use crate::owner::registry::Registry;
use crate::trace::Trace;
use crate::view::View;

/// What every part of one node shares. Several nodes may live in one process, so nothing of it is
/// global.
pub struct Core {
    /// The VM's settings.
    pub settings: Settings,
    /// The time.
    pub clock: Clock,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// What this VM knows of the deployment; only controllers write it.
    pub view: watch::Sender<Arc<View>>,
    /// The shards that this VM owns.
    pub registry: Registry,
    /// What the controllers share.
    pub control: Control,
    /// Gives out the endpoints' slots.
    pub scheduler: Scheduler,
    /// Contents that are refused for good.
    pub poison: Poison,
    /// Counts and latencies.
    pub metrics: Metrics,
    /// The latest decisions.
    pub trace: Trace,
    /// Connections to VMs and endpoints.
    pub client: Client,
    /// The callers' listener.
    pub door: Arc<Door>,
    /// The work for requests: callers' connections and every task that an answer or a record waits
    /// for.
    pub work: TaskTracker,
    /// Every other task that must end before the node has stopped.
    pub tasks: TaskTracker,
    /// The plan of the node's stop, from its begin on.
    pub stop: OnceLock<Stop>,
    /// Set when the node begins to shut down.
    pub stopping: CancellationToken,
    /// Set when the shards are given up: the callers' listener closes, and its connections with
    /// their last answer.
    pub closing: CancellationToken,
    /// Set when the time for what runs is over: who still waits is told so.
    pub expired: CancellationToken,
    /// Set when no work is left: the other listeners close, and every controller may end.
    pub stopped: CancellationToken,
}

impl Core {
    /// Yields the deployment as this VM sees it now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Changes the view and tells every reader.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        self.view.send_modify(|view| change(Arc::make_mut(view)));
    }
}

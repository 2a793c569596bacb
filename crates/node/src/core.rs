//! The state that all parts of a node share.

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
use crate::http::listen::Connections;
use crate::metrics::Metrics;
use crate::owner::poison::Poison;
use crate::owner::registry::Registry;
use crate::trace::Trace;
use crate::view::View;

/// The state that all parts of a node share. None of it is global, because one process may contain
/// several nodes.
pub struct Core {
    /// The VM's settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// What this VM knows about the deployment; only controllers write it.
    pub view: watch::Sender<Arc<View>>,
    /// The shards that this VM owns.
    pub registry: Registry,
    /// The state that the controllers share.
    pub control: Control,
    /// Assigns the endpoints' slots.
    pub scheduler: Scheduler,
    /// Contents that are refused permanently.
    pub poison: Poison,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// The latest routing and placement decisions.
    pub trace: Trace,
    /// Connections to VMs.
    pub client: Client,
    /// Connections to endpoints.
    pub endpoint_client: Client,
    /// The callers' listener.
    pub connections: Arc<Connections>,
    /// The tasks that serve requests: callers' connections, and every task that an answer or a
    /// record waits for.
    pub work: TaskTracker,
    /// Every other task that must end before the node has stopped.
    pub tasks: TaskTracker,
    /// The plan of the node's stop; set when the stop begins.
    pub stop: OnceLock<Stop>,
    /// Cancelled when the node begins to stop.
    pub stopping: CancellationToken,
    /// Cancelled when the shards are released: the callers' listener closes, and each of its
    /// connections closes after its last answer.
    pub closing: CancellationToken,
    /// Cancelled when the time for running requests is over: callers that still wait are told so.
    pub expired: CancellationToken,
    /// Cancelled when no request is left: the other listeners close, and every controller may end.
    pub stopped: CancellationToken,
}

impl Core {
    /// Returns the deployment as this VM sees it now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Changes the view and notifies every reader.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        self.view.send_modify(|view| change(Arc::make_mut(view)));
    }
}

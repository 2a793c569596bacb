//! What every part of one node shares.

use std::sync::Arc;

use platform::edge::Platform;
use settings::vm::Settings;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::clock::Clock;

use crate::controllers::Control;
use crate::dispatch::desk::Desk;
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
    pub desk: Desk,
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
    /// Every task that must end before the node has stopped.
    pub tasks: TaskTracker,
    /// Set when the node begins to shut down.
    pub stopping: CancellationToken,
    /// Set when nothing runs any more and every listener and controller may end.
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

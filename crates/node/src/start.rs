//! Starts a node: binds its listeners and starts its tasks and controllers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use platform::client::Client as Limited;
use platform::edge::Platform;
use platform::etcd::Etcd;
use platform::limit::Rate;
use settings::vm::Settings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::clock::Clock;
use wire::event::Event;

use crate::admin;
use crate::controllers;
use crate::controllers::Control;
use crate::core::Core;
use crate::dispatch::ejection;
use crate::dispatch::scheduler;
use crate::dispatch::scheduler::Scheduler;
use crate::filters;
use crate::http::client::Client;
use crate::http::listen;
use crate::http::listen::Connections;
use crate::http::listen::Lifetime;
use crate::metrics::Metrics;
use crate::owner::poison::Poison;
use crate::owner::registry::Registry;
use crate::peer;
use crate::stop;
use crate::trace::Trace;
use crate::view::View;

/// The time between two passes over the waiting calls when the view doesn't change. A pass refuses
/// the calls that have expired. The time is a twentieth of the shortest `retry-after` that callers
/// get.
const PASS_INTERVAL: Duration = Duration::from_millis(50);
/// The number of passes after which endpoints are ejected or restored and each shard runs its
/// maintenance: at least once per second.
const PASSES_PER_TICK: u32 = 20;
/// The maximum number of connections of each listener for VMs and operators. They don't count
/// towards the limit for callers' connections.
const MAX_INTERNAL_CONNECTIONS: u32 = 65_536;

/// Why a node failed to start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A listener's address can't be bound.
    #[display("can't listen on {address}: {fault}")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        #[error(source)]
        fault: io::Error,
    },
    /// The VM's data centre isn't among those in the settings.
    #[display("the data centre {_0} isn't among the settings' centres")]
    #[from(ignore)]
    Centre(#[error(not(source))] String),
}

/// The outcome of a start.
pub type Result<T> = std::result::Result<T, Fault>;

/// A running node.
pub struct Handle {
    core: Arc<Core>,
}

/// Starts a node that uses the platform in its settings. Listeners with port 0 get a free port.
///
/// # Errors
///
/// Fails if a listener can't be bound or the VM's data centre isn't in the settings.
pub async fn start(settings: Settings, clock: Clock) -> Result<Handle> {
    let handle = open(settings, clock).await?;
    handle.start_controllers().await;
    Ok(handle)
}

/// Opens a node that uses the platform in its settings, without starting its controllers:
/// [`Handle::start_controllers`] does that. Listeners with port 0 get a free port.
///
/// # Errors
///
/// Fails if a listener can't be bound or the VM's data centre isn't in the settings.
pub async fn open(settings: Settings, clock: Clock) -> Result<Handle> {
    let service = &settings.platform;
    let etcd = Etcd::new(service.addresses.clone(), service.timeout);
    let rate = Rate {
        reads: service.reads,
        writes: service.writes,
    };
    let limited = Limited::new(etcd, rate, service.timeout, clock.clone());
    open_on(settings, clock, Arc::new(limited)).await
}

/// Starts a node that uses the given platform.
///
/// # Errors
///
/// Fails if a listener can't be bound or the VM's data centre isn't in the settings.
pub async fn start_on(
    settings: Settings,
    clock: Clock,
    platform: Arc<dyn Platform>,
) -> Result<Handle> {
    let handle = open_on(settings, clock, platform).await?;
    handle.start_controllers().await;
    Ok(handle)
}

async fn open_on(
    mut settings: Settings,
    clock: Clock,
    platform: Arc<dyn Platform>,
) -> Result<Handle> {
    let own = &settings.vm.centre;
    if !settings.centres.iter().any(|centre| centre.name == *own) {
        return Err(Fault::Centre(own.to_string()));
    }
    let callers = bind(&mut settings.listen.callers).await?;
    let peers = bind(&mut settings.listen.peers).await?;
    let admin = bind(&mut settings.listen.admin).await?;
    let limits = &settings.limits;
    let connections = Connections::new(
        limits.connections,
        limits.connections_urgent,
        limits.receive,
    );
    let core = Arc::new(Core {
        scheduler: Scheduler::new(&settings, clock.now()),
        poison: Poison::default(),
        metrics: Metrics::default(),
        trace: Trace::default(),
        client: Client::of_vms(),
        endpoint_client: Client::of_endpoints(),
        connections: Arc::new(connections),
        work: TaskTracker::new(),
        tasks: TaskTracker::new(),
        stop: OnceLock::new(),
        view: watch::Sender::new(Arc::new(View::default())),
        registry: Registry::default(),
        control: Control::new(&settings, clock.now()),
        stopping: CancellationToken::new(),
        closing: CancellationToken::new(),
        expired: CancellationToken::new(),
        stopped: CancellationToken::new(),
        settings,
        clock,
        platform,
    });
    serve(&core, callers, peers, admin);
    core.tasks.spawn(tick(core.clone()));
    Ok(Handle { core })
}

impl Handle {
    /// Starts the controllers, and returns when the VM may serve. The listeners accept callers
    /// before that, and the node may have to shut down before this returns, so await this together
    /// with the stop signal.
    pub async fn start_controllers(&self) {
        let core = &self.core;
        controllers::start(core).await;
        let vm = &core.settings.vm;
        let listen = &core.settings.listen;
        log::info!(
            "{} vm={} centre={} callers={} peers={} admin={}",
            Event::NodeStarted,
            vm.name,
            vm.centre,
            listen.callers,
            listen.peers,
            listen.admin
        );
    }

    /// Returns the address of the callers' listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.core.settings.listen.callers
    }

    /// Returns the address of the listener for other VMs.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.core.settings.listen.peers
    }

    /// Returns the address of the operators' listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.core.settings.listen.admin
    }

    /// Returns the state that the node's parts share.
    #[must_use]
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Shuts the node down within the grace in the settings.
    pub async fn shutdown(self) {
        stop::run(&self.core).await;
    }
}

async fn bind(address: &mut SocketAddr) -> Result<TcpListener> {
    let listen = |fault| Fault::Listen {
        address: *address,
        fault,
    };
    let listener = listen::bind(*address).await.map_err(listen)?;
    *address = listener.local_addr().map_err(|fault| Fault::Listen {
        address: *address,
        fault,
    })?;
    Ok(listener)
}

fn serve(core: &Arc<Core>, callers: TcpListener, peers: TcpListener, admin: TcpListener) {
    let external = Lifetime {
        end: core.closing.clone(),
        tasks: core.work.clone(),
    };
    let served = listen::run(
        callers,
        core.connections.clone(),
        external,
        core.clone(),
        filters::handle,
    );
    core.work.spawn(served);
    // Requests from other VMs and operators are answered until the last work is done. Otherwise
    // they would consider the VM dead while it still works.
    let internal = Lifetime {
        end: core.stopped.clone(),
        tasks: core.tasks.clone(),
    };
    let receive = core.settings.limits.receive;
    let connections = || Arc::new(Connections::new(MAX_INTERNAL_CONNECTIONS, 0, receive));
    let served = listen::run(
        peers,
        connections(),
        internal.clone(),
        core.clone(),
        peer::handle,
    );
    core.tasks.spawn(served);
    let served = listen::run(admin, connections(), internal, core.clone(), admin::handle);
    core.tasks.spawn(served);
}

async fn tick(core: Arc<Core>) {
    let mut views = core.view.subscribe();
    let mut passes = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(PASS_INTERVAL) => {}
            _changed = views.changed() => {}
            () = core.stopped.cancelled() => return,
        }
        scheduler::assign_slots(&core);
        passes += 1;
        if passes >= PASSES_PER_TICK {
            passes = 0;
            ejection::sweep(&core);
            core.registry.tick();
        }
    }
}

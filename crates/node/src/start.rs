//! Puts a node together.

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
use crate::http::listen::Door;
use crate::http::listen::Life;
use crate::metrics::Metrics;
use crate::owner::poison::Poison;
use crate::owner::registry::Registry;
use crate::peer;
use crate::stop;
use crate::trace::Trace;
use crate::view::View;

/// How often waiting calls are looked at although nothing has happened, for those whose time is
/// over; a twentieth of the shortest wait that callers are told of.
const PUMP: Duration = Duration::from_millis(50);
/// How many pumps there are to one sweep: a second.
const SWEEP: u32 = 20;
/// Connections that the listeners for VMs and operators take; callers can't use them up.
const INNER_CONNECTIONS: u32 = 65_536;

/// Why a node doesn't start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A listener can't be bound.
    #[display("can't listen on {address}: {fault}")]
    #[from(ignore)]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[error(source)]
        fault: io::Error,
    },
    /// The settings name no data centre, or not the VM's own.
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

/// Starts a node against the platform that its settings name. Listeners with port 0 get a free
/// one.
///
/// # Errors
///
/// Fails where a listener can't be bound or the settings don't fit together.
pub async fn start(settings: Settings, clock: Clock) -> Result<Handle> {
    let handle = open(settings, clock).await?;
    handle.settle().await;
    Ok(handle)
}

/// Opens a node against the platform that its settings name; [`Handle::settle`] starts it. Listeners
/// with port 0 get a free one.
///
/// # Errors
///
/// Fails where a listener can't be bound or the settings don't fit together.
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

/// Starts a node against a given platform.
///
/// # Errors
///
/// Fails where a listener can't be bound or the settings don't fit together.
pub async fn start_on(
    settings: Settings,
    clock: Clock,
    platform: Arc<dyn Platform>,
) -> Result<Handle> {
    let handle = open_on(settings, clock, platform).await?;
    handle.settle().await;
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
    let door = Door::new(
        limits.connections,
        limits.connections_urgent,
        limits.receive,
    );
    let core = Arc::new(Core {
        scheduler: Scheduler::new(&settings, clock.now()),
        poison: Poison::default(),
        metrics: Metrics::default(),
        trace: Trace::default(),
        client: Client::default(),
        door: Arc::new(door),
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
    /// Starts the controllers, and returns when the VM may serve. It takes callers before, and may
    /// have to be shut down without it: whoever waits here listens for that as well.
    pub async fn settle(&self) {
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

    /// Yields the callers' listener.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.core.settings.listen.callers
    }

    /// Yields the listener for other VMs.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.core.settings.listen.peers
    }

    /// Yields the operators' listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.core.settings.listen.admin
    }

    /// Yields what the node's parts share.
    #[must_use]
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Shuts the node down within the settings' grace.
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
    let outer = Life {
        end: core.closing.clone(),
        tasks: core.work.clone(),
    };
    let served = listen::run(
        callers,
        core.door.clone(),
        outer,
        core.clone(),
        filters::handle,
    );
    core.work.spawn(served);
    // Other VMs and operators are answered until the last work is done: without it they would take
    // the VM for dead while it still works.
    let inner = Life {
        end: core.stopped.clone(),
        tasks: core.tasks.clone(),
    };
    let receive = core.settings.limits.receive;
    let door = || Arc::new(Door::new(INNER_CONNECTIONS, 0, receive));
    let served = listen::run(peers, door(), inner.clone(), core.clone(), peer::handle);
    core.tasks.spawn(served);
    let served = listen::run(admin, door(), inner, core.clone(), admin::handle);
    core.tasks.spawn(served);
}

async fn tick(core: Arc<Core>) {
    let mut news = core.view.subscribe();
    let mut pumps = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(PUMP) => {}
            _changed = news.changed() => {}
            () = core.stopped.cancelled() => return,
        }
        scheduler::assign_slots(&core);
        pumps += 1;
        if pumps >= SWEEP {
            pumps = 0;
            ejection::sweep(&core);
            core.registry.tick();
        }
    }
}

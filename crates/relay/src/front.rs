//! The process on the VMs that callers connect to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use adapter::settings;
use adapter::settings::Settings;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use link::listen;
use replica::client::Coverage;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use wire::clock::Clock;
use wire::event::Event;

use crate::arrival;
use crate::crashes;
use crate::drain;
use crate::exchange;
use crate::fleet;
use crate::follow;
use crate::identity;
use crate::member_health;
use crate::node::Node;
use crate::probe;
use crate::reachability;
use crate::register;
use crate::signals::Reloads;
use crate::signals::Signals;
use crate::stray;
use crate::subject::Subject;

/// How often the members (VMs with a disk) are checked: often enough that a partition is noticed
/// before the load balancer's next readiness check, and that turns are served again soon after it
/// ends.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How often the members are checked while too few answer. Each turn is refused until enough do,
/// and after a restart of all VMs the callers retry within some hundred milliseconds.
const LOST_MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often connections that were unused for too long are closed, runners whose entries have been
/// missing for too long are removed, and unreachable runners are probed.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Why the process can't run.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The settings lack a value that this process needs.
    #[display("CY6101: the settings have faults: no valid value for {_0}")]
    #[from(ignore)]
    Missing(#[error(not(source))] &'static str),
    /// The settings can't be used.
    #[display("{_0}")]
    Settings(settings::Fault),
    /// A listener can't be bound, a signal can't be caught, or the disk fails.
    #[display("{_0}")]
    Io(std::io::Error),
}

/// The result of running a process.
pub type Result<T> = std::result::Result<T, Fault>;

/// Runs the process until SIGTERM.
///
/// # Errors
///
/// Fails if the settings can't be used, a listener can't be bound, or a signal can't be caught.
pub async fn run(settings: Settings, metrics: u16, reloads: Reloads) -> Result<()> {
    let signals = Signals::catch(reloads)?;
    run_until(settings, metrics, signals.stopped()).await
}

/// Runs the process until `stop` completes, and then lets requests in progress finish.
///
/// # Errors
///
/// Fails if the settings can't be used or a listener can't be bound.
pub async fn run_until(
    settings: Settings,
    metrics: u16,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let node = Node::new(settings, Clock::System);
    let settings = &node.settings;
    let callers = settings.callers.ok_or(Fault::Missing("front"))?;
    let ready = settings.ready.ok_or(Fault::Missing("ready"))?;
    let ip = callers.ip();
    let peer_address = SocketAddr::new(ip, settings.first_port);
    let listener = listen_all(
        &node,
        callers,
        ready,
        peer_address,
        SocketAddr::new(ip, metrics),
    )
    .await?;
    log::info!(
        "event=E{} text=\"{}\" vm={} role=front callers={callers} ready={ready} vms={peer_address}",
        Event::NodeStarted.number(),
        Event::NodeStarted.text(),
        settings.vm
    );
    for subject in Subject::ALL {
        tokio::spawn(follow::run(node.clone(), subject));
    }
    tokio::spawn(exchange::run(node.clone()));
    let advertised = settings.advertised.unwrap_or(peer_address);
    tokio::spawn(register::run(node.clone(), advertised));
    tokio::spawn(check_members(node.clone()));
    tokio::spawn(sweep(node.clone()));
    stop.await;
    drain::run(&node, &node.listeners.callers, listener).await;
    Ok(())
}

/// Opens all listeners; returns the task of the listener for callers.
async fn listen_all(
    node: &Arc<Node>,
    callers: SocketAddr,
    ready: SocketAddr,
    peer_address: SocketAddr,
    metrics: SocketAddr,
) -> Result<JoinHandle<()>> {
    let shared = node.clone();
    let handler = move |request| arrival::serve(shared.clone(), request);
    let listener = listen::bind(callers).await?;
    let connections = node.listeners.callers.clone();
    let listening = tokio::spawn(listen::run(listener, connections, handler));

    let shared = node.clone();
    let handler = move |_request| std::future::ready(probe::answer_readiness(&shared));
    let listener = listen::bind(ready).await?;
    let connections = node.listeners.ready.clone();
    tokio::spawn(listen::run(listener, connections, handler));

    let shared = node.clone();
    let handler = move |request| exchange::serve(shared.clone(), request);
    let listener = listen::bind(peer_address).await?;
    let connections = node.listeners.vms.clone();
    tokio::spawn(listen::run(listener, connections, handler));

    let shared = node.clone();
    let handler = move |_request| std::future::ready(probe::answer_metrics(&shared));
    let listener = listen::bind(metrics).await?;
    let connections = node.listeners.metrics.clone();
    tokio::spawn(listen::run(listener, connections, handler));
    Ok(listening)
}

/// Checks repeatedly whether enough members answer.
async fn check_members(node: Arc<Node>) {
    loop {
        let pause = match member_health::check(&node).await {
            Coverage::Full | Coverage::CatchingUp => MEMBER_CHECK_INTERVAL,
            Coverage::TooFew => LOST_MEMBER_CHECK_INTERVAL,
        };
        sleep(pause).await;
    }
}

/// Repeatedly closes connections that were unused for too long, removes runners whose entries have
/// been missing for too long, and probes unreachable runners.
async fn sweep(node: Arc<Node>) {
    let mut proof_log = identity::ChangeLog::default();
    let mut connections = listen::Figures::default();
    loop {
        sleep(SWEEP_INTERVAL).await;
        node.runner_client.sweep();
        node.vm_client.sweep();
        node.listeners.sweep(&mut connections);
        stray::log_unsolicited(&node);
        let now = node.clock.now();
        let gone = node.fleet().remove_missing(now);
        for id in gone {
            fleet::log_change(
                &fleet::Change::Removed,
                &format!("runner={id} missing=true"),
            );
        }
        reachability::retry(&node);
        crashes::forget_old(&node);
        proof_log.log_change(&node);
    }
}

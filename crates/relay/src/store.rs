//! The process on VMs that have a disk.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use adapter::keys;
use adapter::kv::Freshness;
use adapter::kv::Kv;
use adapter::kv::Update;
use adapter::settings::Settings;
use hyper::StatusCode;
use link::client::Client;
use link::client::Limits;
use link::intake::Intake;
use link::listen;
use link::listen::Connections;
use platform::edge::Change;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use policy::stop::Stop;
use rand::RngExt;
use replica::ledger;
use replica::list;
use replica::member::Driver;
use replica::member::Phase;
use replica::server;
use replica::server::Member;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::event::Event;

use crate::answer;
use crate::connections;
use crate::front::Fault;
use crate::front::Result;
use crate::ingress;
use crate::ingress::Listeners;
use crate::memory;
use crate::metrics;
use crate::node;
use crate::signals::Reloads;
use crate::signals::Signals;
use crate::subject;

/// Timeout for connecting to another VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the connection counts as dead.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The most unused connections to another VM.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The limits of connections to VMs and to the key-value service.
const LIMITS: Limits = Limits {
    connect_timeout: CONNECT_TIMEOUT,
    unacked_timeout: UNACKED_TIMEOUT,
    idle_timeout: IDLE_TIMEOUT,
    max_idle: MAX_IDLE_CONNECTIONS,
    ..connections::VM_LIMITS
};
/// How often connections are ended whose time is up.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a watch waits at the service for the request to retire this VM. A watch that waits for
/// longer than the service keeps its history breaks off, and the request has to be read again.
const WATCH_TIMEOUT: Millis = Millis::new(20_000);
/// The pause between two reads of a copy of the request to retire this VM: a third of the time in
/// which operators want a VM emptied. A copy costs a tenth of a watch.
const COPY_INTERVAL: Duration = Duration::from_secs(4);
/// The pause after a failed call of the key-value service.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The longest pause of a VM that can't read whether it has to retire. A fraction of the time that
/// emptying a VM takes.
const MAX_RETIRE_RETRY_PAUSE: Duration = Duration::from_millis(2_400);
/// How long a stopping process waits until its last answers have been sent.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a stopping process checks whether its last answers have been sent.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the process until SIGTERM.
///
/// # Errors
///
/// Fails if the settings can't be used, the disk fails, a listener can't be bound, or a signal can't be
/// caught.
pub async fn run(settings: Settings, metrics_port: u16, reloads: Reloads) -> Result<()> {
    let clock = Clock::System;
    let grace = settings.grace;
    let listeners = Listeners::new(&settings);
    let intake = ingress::vm_messages(&settings);
    let folder = settings.data.clone().ok_or(Fault::Missing("data folder"))?;
    let new_disk_id = rand::rng().random::<u64>();
    let member = server::open(&folder, settings.disk_bytes, new_disk_id, clock.clone()).await?;
    member.set_losses(settings.tolerated_losses);
    let signals = Signals::catch(reloads)?;
    let ip = settings.ip.parse();
    let ip = ip.map_err(|_| Fault::Missing("IP address"))?;
    let address = SocketAddr::new(ip, settings.first_port);
    let metrics_address = SocketAddr::new(ip, metrics_port);
    listen_all(&member, &intake, &listeners, address, metrics_address).await?;
    log::info!(
        "event=E{} text=\"{}\" vm={} role=store vms={address}",
        Event::NodeStarted.number(),
        Event::NodeStarted.text(),
        settings.vm
    );
    let http = Client::new(LIMITS);
    let kv = Kv::new(http.clone(), settings.store, node::STORE_TIMEOUT);
    let (phase, phases) = watch::channel(Phase::Member);
    let shared = member.clone();
    let driver = Driver {
        own: list::Member {
            vm: settings.vm.clone(),
            centre: settings.centre.clone(),
            address: settings.advertised.unwrap_or(address),
            disk: member.status().disk,
        },
        member: shared,
        http,
        platform: Arc::new(kv.clone()),
        key: subject::members_key(),
        losses: settings.tolerated_losses,
        max_silence: ledger::RETENTION,
        clock: clock.clone(),
        phase: phase.clone(),
    };
    tokio::spawn(driver.run());
    tokio::spawn(retire(kv, settings.vm.clone(), phase, phases));
    let conns = listeners.vms.clone();
    tokio::spawn(sweep(listeners));
    signals.stopped().await;
    log::info!(
        "event=E{} text=\"{}\"",
        Event::NodeStopping.number(),
        Event::NodeStopping.text()
    );
    let stop = Stop::new(clock.now(), grace);
    drain(&member, &conns, stop, &clock).await;
    log::info!(
        "event=E{} text=\"{}\"",
        Event::NodeStopped.number(),
        Event::NodeStopped.text()
    );
    Ok(())
}

/// Finishes what the member has accepted: writes that a writer may rely on, and the bytes of their
/// answers.
async fn drain(member: &Member, connections: &Connections, stop: Stop, clock: &Clock) {
    member.refuse_writes();
    let left = stop.left(clock.now()).as_duration();
    if timeout(left, member.wait_for_writes()).await.is_err() {
        log::warn!("text=\"disk writes did not finish before the process has to end\"");
    }
    connections.stopping.cancel();
    connections.draining.cancel();
    connections.closed.cancel();
    let all_closed = async {
        while connections.open() > 0 {
            sleep(FLUSH_POLL_INTERVAL).await;
        }
    };
    let _unflushed = timeout(FLUSH_TIMEOUT, all_closed).await;
}

/// Repeatedly ends the connections whose time is up.
async fn sweep(listeners: Listeners) {
    let mut logged = listen::Figures::default();
    loop {
        sleep(SWEEP_INTERVAL).await;
        listeners.sweep(&mut logged);
    }
}

async fn listen_all(
    member: &Arc<Member>,
    intake: &Intake,
    listeners: &Listeners,
    address: SocketAddr,
    metrics_address: SocketAddr,
) -> Result<()> {
    let shared = member.clone();
    let intake = intake.clone();
    let handler = move |request| server::serve(shared.clone(), intake.clone(), request);
    let listener = listen::bind(address).await?;
    tokio::spawn(listen::run(listener, listeners.vms.clone(), handler));

    let shared = member.clone();
    let handler = move |_request| {
        let status = shared.status();
        let (turns, accounts) = shared.counts();
        let (disk_bytes, disk_limit_bytes) = shared.disk_usage();
        let text = metrics::render(&[
            ("members_version", status.version),
            ("members_ready", status.ready),
            ("members_complete", shared.complete_members() as u64),
            ("turns", turns as u64),
            ("accounts", accounts as u64),
            ("turns_dropped", shared.dropped_turns()),
            ("disk_bytes", disk_bytes),
            ("disk_limit_bytes", disk_limit_bytes),
            ("memory_bytes", memory::resident()),
        ]);
        std::future::ready(answer::text(StatusCode::OK, text))
    };
    let listener = listen::bind(metrics_address).await?;
    tokio::spawn(listen::run(listener, listeners.metrics.clone(), handler));
    Ok(())
}

/// Retires the VM when operators request it: its member leaves the list, and the other members copy
/// what it holds. Reports the progress to the operators.
async fn retire(
    kv: Kv,
    vm: String,
    phase: watch::Sender<Phase>,
    mut phases: watch::Receiver<Phase>,
) {
    wait_for_request(&kv, &vm).await;
    log::info!("text=\"operators asked to retire the VM\" vm={vm}");
    write_status(&kv, &vm, keys::retire_running()).await;
    phase.send_replace(Phase::Leaving);
    if phases
        .wait_for(|phase| *phase == Phase::Left)
        .await
        .is_err()
    {
        return;
    }
    write_status(&kv, &vm, keys::retire_complete()).await;
    log::info!("text=\"the VM is retired: other members hold everything that it held\" vm={vm}");
}

/// Waits for the request to retire this VM. A copy is read as well, because a watch that the service
/// has lost looks like one without changes.
async fn wait_for_request(kv: &Kv, vm: &str) {
    let key = format!("{}{vm}", keys::RETIRE);
    tokio::select! {
        () = watch_for_request(kv, &key) => {}
        () = read_copies(kv, &key) => {}
    }
}

/// Reads copies of the request until there is one.
async fn read_copies(kv: &Kv, key: &str) {
    loop {
        sleep(COPY_INTERVAL).await;
        match kv.read_copy(key).await {
            Ok(Some(_)) => return,
            Ok(None) => {}
            Err(fault) => log::debug!("no copy of requests to retire the VM: {fault}"),
        }
    }
}

async fn watch_for_request(kv: &Kv, key: &str) {
    let mut pause = RETRY_PAUSE;
    loop {
        match kv.list(key, Freshness::Latest).await {
            Ok(listing) => {
                pause = RETRY_PAUSE;
                if listing.entries.iter().any(|entry| entry.key == key) {
                    return;
                }
                if watch_from(kv, key, listing.revision).await {
                    return;
                }
            }
            Err(fault) => log::debug!("requests to retire the VM can't be read: {fault}"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_RETIRE_RETRY_PAUSE);
    }
}

/// Watches until the request comes or the watch breaks off; returns whether the request came.
async fn watch_from(kv: &Kv, key: &str, revision: u64) -> bool {
    let mut revision = revision;
    while let Ok(Update::Changes {
        changes,
        revision: next,
    }) = kv.changes(key, revision, WATCH_TIMEOUT).await
    {
        revision = next.max(revision);
        let is_request = |change: &Change| matches!(change, Change::Set(entry) if entry.key == key);
        if changes.iter().any(is_request) {
            return true;
        }
    }
    false
}

async fn write_status(kv: &Kv, vm: &str, value: Vec<u8>) {
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![Write::Put {
            key: keys::retire_status(vm),
            value,
            lease: None,
        }],
    };
    loop {
        match kv.commit(&txn, Priority::Change).await {
            Ok(_) => return,
            Err(fault) => {
                log::warn!(
                    "text=\"can't write the VM's retirement status\" vm={vm} fault=\"{fault}\""
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

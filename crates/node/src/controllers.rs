//! The controllers that keep a VM's state: each a pure decision module, which is given the time
//! and what was heard, beside a thin task that does the traffic and publishes a
//! [`crate::view::View`].

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use journal::copy::Store;
use settings::vm::Settings;
use tokio::sync::Notify;
use wire::clock::Millis;

use crate::controllers::config::Current;
use crate::controllers::members::exchange::Exchange;
use crate::controllers::members::heartbeat::Status;
use crate::controllers::poller::Poller;
use crate::controllers::poller::sweep::Sweep;
use crate::core::Core;
use crate::peer;

pub mod call;
pub mod claims;
pub mod config;
pub mod copies;
pub mod members;
pub mod poller;
pub mod rendezvous;
pub mod run;

/// The most that this VM holds of others' batches during an outage, in bytes. Model turns of a few
/// kilobytes at the letter's 12 a second and VM fill 64 MB, the limit for all control, in a quarter
/// of an hour; half of it is kept for the rest.
const MAX_COPIES_BYTES: usize = 32 * 1024 * 1024;

/// What this VM has sent to others for control, answers among it.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Frames.
    pub frames: AtomicU64,
    /// Bytes of their bodies; HTTP and TCP add theirs.
    pub bytes: AtomicU64,
}

impl Traffic {
    fn count(&self, body: &Bytes) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
    }
}

/// What the controllers of one VM share.
#[derive(Debug)]
pub struct Control {
    /// What was sent.
    pub traffic: Traffic,
    exchange: Mutex<Exchange>,
    current_config: Mutex<Current>,
    copies: Mutex<Store>,
    poller: Mutex<Poller>,
    sweep: Mutex<Sweep>,
    /// Asks for heartbeats at once, as there is news that shouldn't wait for the next round.
    urgent: Notify,
}

impl Control {
    /// Makes the state of a VM that starts; its listeners are bound, so that the settings name
    /// their ports.
    #[must_use]
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let process = rand::random();
        let own = Status {
            size: settings.vm.size,
            process,
            ..members::seed(
                &settings.vm.name,
                &settings.vm.centre,
                settings.listen.peers,
            )
        };
        Self {
            traffic: Traffic::default(),
            exchange: Mutex::new(Exchange::new(own, now)),
            current_config: Mutex::default(),
            copies: Mutex::new(Store::new(process, MAX_COPIES_BYTES)),
            poller: Mutex::default(),
            sweep: Mutex::default(),
            urgent: Notify::new(),
        }
    }

    fn exchange(&self) -> MutexGuard<'_, Exchange> {
        lock(&self.exchange)
    }

    fn current_config(&self) -> MutexGuard<'_, Current> {
        lock(&self.current_config)
    }

    fn copies(&self) -> MutexGuard<'_, Store> {
        lock(&self.copies)
    }

    fn poller(&self) -> MutexGuard<'_, Poller> {
        lock(&self.poller)
    }

    fn sweep(&self) -> MutexGuard<'_, Sweep> {
        lock(&self.sweep)
    }
}

/// Starts the controllers as tasks that end when [`Core::stopped`] is set. Returns when the VM
/// may serve: it has the highest configuration that can be had, and each shard of its data centre
/// has an owner or can't have one soon.
pub async fn start(core: &Arc<Core>) {
    run::members::start(core);
    run::config::boot(core).await;
    core.tasks.spawn(run::config::follow(core.clone()));
    core.tasks.spawn(run::claims::run(core.clone()));
    core.tasks.spawn(run::poller::run(core.clone()));
    run::claims::wait_for_owners(core).await;
}

/// Answers a request of another VM on one of the controllers' paths of [`crate::peer`]; `None`
/// where the path isn't theirs or the body isn't a frame. Body and answer are frames.
pub async fn serve(core: &Arc<Core>, path: &str, body: Bytes) -> Option<Bytes> {
    let answer = match path {
        peer::BEAT => run::members::serve(core, &body).await,
        peer::CONFIG => run::config::serve(core, &body),
        peer::HOLD => copies::hold(core, &body),
        peer::COLLECT => copies::collect(core, &body).await,
        peer::HELD => run::poller::serve(core, &body).await,
        peer::DRAINED => copies::drained(core, &body),
        _ => None,
    }?;
    core.control.traffic.count(&answer);
    Some(answer)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The controllers that maintain a VM's state. Each consists of a decision module without I/O,
//! which is given the time and the received messages, and of a task that does the I/O and publishes
//! a [`crate::view::View`].

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

/// The most bytes of other VMs' batches that this VM holds during an outage. Model turns of a few
/// kilobytes, at 12 a second on each VM, fill 64 MB in a quarter of an hour. 64 MB is the limit for
/// all control data; half of it is left for the rest.
const MAX_COPIES_BYTES: usize = 32 * 1024 * 1024;

/// What this VM has sent to other VMs for control, including answers.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Number of frames.
    pub frames: AtomicU64,
    /// Bytes of their bodies, without the overhead of HTTP and TCP.
    pub bytes: AtomicU64,
}

impl Traffic {
    fn count(&self, body: &Bytes) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
    }
}

/// The state that the controllers of one VM share.
#[derive(Debug)]
pub struct Control {
    /// Counts what was sent.
    pub traffic: Traffic,
    exchange: Mutex<Exchange>,
    current_config: Mutex<Current>,
    copies: Mutex<Store>,
    poller: Mutex<Poller>,
    sweep: Mutex<Sweep>,
    /// Triggers heartbeats at once, for updates that shouldn't wait for the next round.
    urgent: Notify,
}

impl Control {
    /// Makes the state of a VM that starts. Its listeners are bound already, so `settings` contains
    /// their actual ports.
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

/// Starts the controllers as tasks that end when [`Core::stopped`] is set. Returns when the VM may
/// serve: it has the highest configuration available, and each shard of its data centre has an
/// owner or can't get one soon.
pub async fn start(core: &Arc<Core>) {
    run::members::start(core);
    run::config::boot(core).await;
    core.tasks.spawn(run::config::follow(core.clone()));
    core.tasks.spawn(run::claims::run(core.clone()));
    core.tasks.spawn(run::poller::run(core.clone()));
    run::claims::wait_for_owners(core).await;
}

/// Answers a request of another VM to one of the controllers' paths of [`crate::peer`]. Returns
/// `None` where the path isn't one of them or the body isn't a frame. Body and answer are frames.
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

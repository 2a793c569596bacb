//! A VM: its process, started again whenever it ends, as the platform does.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fakes::settings;
use tokio::time::sleep;
use wire::clock::Millis;

use crate::check::Check;
use crate::history::GRACE;
use crate::history::Ticket;
use crate::process::Process;
use crate::process::Program;
use crate::process::Signal;
use crate::world::World;

/// How often a process is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// After an end, when the platform starts the process again.
const RESTART: Duration = Duration::from_millis(400);
/// How long a killed VM's start takes until it serves, with room to spare.
const BACK: Duration = Duration::from_millis(1_500);

/// What a VM is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its place in the fleet.
    pub at: usize,
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its data folder, where it has a disk.
    pub disk: Option<PathBuf>,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its log.
    pub log: PathBuf,
    /// The product's binary.
    pub binary: PathBuf,
}

/// A VM.
#[derive(Debug)]
pub struct Vm {
    /// What it is.
    pub place: Place,
    life: Mutex<Life>,
}

#[derive(Debug, Default)]
struct Life {
    process: Option<Process>,
    /// When SIGTERM was sent.
    stopped: Option<Millis>,
    /// Whether SIGKILL was sent, or the process was frozen: its end isn't its own any more.
    meddled: bool,
    /// The disruption that ends once the process is back.
    ticket: Option<Ticket>,
    /// Whether the next start finds an empty disk.
    wipe: bool,
}

impl Vm {
    /// Makes a VM without a process.
    #[must_use]
    pub fn new(place: Place) -> Arc<Self> {
        Arc::new(Self {
            place,
            life: Mutex::default(),
        })
    }

    /// Yields where it takes callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.place.ip, settings::CALLERS)
    }

    /// Yields where it tells whether it is ready.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.place.ip, settings::READY)
    }

    /// Yields where other VMs connect to it.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.place.ip, settings::PEERS)
    }

    /// Yields the id of its process, where it has one.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.life().process.as_ref().map(Process::id)
    }

    /// Starts the process and starts it again after each end, for as long as it is polled.
    ///
    /// # Errors
    ///
    /// Fails where the process can't be started or looked at.
    pub async fn run(self: Arc<Self>, world: Arc<World>) -> io::Result<()> {
        loop {
            self.start(&world)?;
            let status = self.ended(&world).await?;
            let ticket = self.judge(&world, status);
            sleep(RESTART).await;
            if let Some(ticket) = ticket {
                tokio::spawn(restore(world.clone(), ticket));
            }
        }
    }

    /// Sends SIGTERM; tells whether there was a process to stop that wasn't stopping.
    ///
    /// # Errors
    ///
    /// Fails where the signal can't be sent.
    pub fn stop(&self, world: &World) -> io::Result<bool> {
        let mut life = self.life();
        if life.stopped.is_some() || life.meddled || life.process.is_none() {
            return Ok(false);
        }
        let now = world.oracle().now();
        life.stopped = Some(now);
        world.oracle().history.stop(self.place.at, now);
        self.lose(world);
        life.signal(Signal::Term)?;
        Ok(true)
    }

    /// Tells whether its process is there and neither stops nor was disturbed.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let life = self.life();
        life.process.is_some() && life.stopped.is_none() && !life.meddled
    }

    /// Yields when SIGTERM was sent to the process that is there.
    #[must_use]
    pub fn stopped_at(&self) -> Option<Millis> {
        let life = self.life();
        life.stopped
            .filter(|_| life.process.is_some() && !life.meddled)
    }

    /// Sends SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails where the signal can't be sent.
    pub fn reload(&self, world: &World) -> io::Result<()> {
        let now = world.oracle().now();
        world.oracle().history.reload(self.place.at, now);
        self.life().signal(Signal::Hup)
    }

    /// Sends SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails where the signal can't be sent.
    pub fn kill(&self, world: &World) -> io::Result<()> {
        self.lose(world);
        let mut life = self.life();
        life.disrupt(world);
        life.signal(Signal::Kill)
    }

    /// Sends SIGKILL; the next start finds an empty disk.
    ///
    /// # Errors
    ///
    /// Fails where the signal can't be sent.
    pub fn wipe(&self, world: &World) -> io::Result<()> {
        self.life().wipe = true;
        self.kill(world)
    }

    /// Freezes the process for a while.
    ///
    /// # Errors
    ///
    /// Fails where the signal can't be sent.
    pub async fn pause(&self, world: &World, span: Millis) -> io::Result<()> {
        self.lose(world);
        let ticket = {
            let mut life = self.life();
            life.meddled = true;
            life.signal(Signal::Stop)?;
            let mut oracle = world.oracle();
            let now = oracle.now();
            oracle.history.disrupt(now)
        };
        sleep(span.as_duration()).await;
        let mut life = self.life();
        life.signal(Signal::Cont)?;
        // What comes next is its own again, unless it is being stopped.
        life.meddled = life.stopped.is_some() || life.ticket.is_some();
        let mut oracle = world.oracle();
        let now = oracle.now();
        oracle.history.restore(ticket, now);
        oracle.history.regain(self.place.at, now);
        Ok(())
    }

    /// Notes that the VM is lost, where it has a disk.
    fn lose(&self, world: &World) {
        if self.place.disk.is_some() {
            let mut oracle = world.oracle();
            let now = oracle.now();
            oracle.history.lose(self.place.at, now);
        }
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self, world: &World) -> io::Result<()> {
        let mut life = self.life();
        let wipe = std::mem::take(&mut life.wipe);
        if let Some(disk) = self.place.disk.as_ref().filter(|_| wipe) {
            fs::remove_dir_all(disk)?;
        }
        let role = match self.place.disk {
            Some(_) => "store",
            None => "front",
        };
        life.process = Some(Process::start(&Program {
            binary: &self.place.binary,
            role,
            settings: &self.place.settings,
            log: &self.place.log,
        })?);
        life.stopped = None;
        life.meddled = false;
        let mut oracle = world.oracle();
        let now = oracle.now();
        oracle.history.regain(self.place.at, now);
        Ok(())
    }

    /// Waits for the process's end; kills it where it outlasts its grace.
    async fn ended(&self, world: &World) -> io::Result<ExitStatus> {
        loop {
            {
                let mut life = self.life();
                let process = life.process.as_mut();
                if let Some(status) = process.map(Process::ended).transpose()?.flatten() {
                    return Ok(status);
                }
                let now = world.oracle().now();
                let is_over = life.stopped.is_some_and(|at| now.since(at) >= GRACE);
                if is_over && life.ticket.is_none() {
                    if !life.meddled {
                        let what = "SIGKILL after its grace".to_owned();
                        world.oracle().note_stopped(self.place.at, Some(what));
                    }
                    life.disrupt(world);
                    life.signal(Signal::Kill)?;
                }
            }
            sleep(LOOK).await;
        }
    }

    /// Judges how the process ended; yields the disruption that ends with its return.
    fn judge(&self, world: &World, status: ExitStatus) -> Option<Ticket> {
        let mut life = self.life();
        life.process = None;
        if life.meddled {
            return life.ticket.take();
        }
        let at = self.place.at;
        if life.stopped.is_some() {
            let broken = (!status.success()).then(|| status.to_string());
            world.oracle().note_stopped(at, broken);
        } else {
            let what = format!("ended unasked: {status}");
            world.oracle().note_vm(Check::Lives, at, Some(&what));
        }
        life.ticket.take()
    }
}

impl Life {
    fn signal(&self, signal: Signal) -> io::Result<()> {
        // A VM whose process has just ended gets none.
        self.process
            .as_ref()
            .map_or(Ok(()), |process| process.signal(signal))
    }

    fn disrupt(&mut self, world: &World) {
        self.meddled = true;
        if self.ticket.is_none() {
            let mut oracle = world.oracle();
            let now = oracle.now();
            self.ticket = Some(oracle.history.disrupt(now));
        }
    }
}

async fn restore(world: Arc<World>, ticket: Ticket) {
    sleep(BACK).await;
    let mut oracle = world.oracle();
    let now = oracle.now();
    oracle.history.restore(ticket, now);
}

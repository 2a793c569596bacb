//! A VM: its process, which is restarted whenever it ends, as the platform does.

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
use crate::context::Context;
use crate::history::DisruptionId;
use crate::history::GRACE;
use crate::process::Process;
use crate::process::Program;
use crate::process::Signal;

/// How often a process is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The time after which the platform restarts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// How long a killed VM takes from its restart until it serves, with a margin.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// The configuration of a VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its index in the fleet.
    pub index: usize,
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its data folder, if it has a disk.
    pub disk: Option<PathBuf>,
    /// Its settings file.
    pub settings: PathBuf,
    /// Its log file.
    pub log: PathBuf,
    /// The product's binary.
    pub binary: PathBuf,
}

/// A VM.
#[derive(Debug)]
pub struct Vm {
    /// Its configuration.
    pub config: Config,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    process: Option<Process>,
    /// When SIGTERM was sent to the current process.
    term_sent_at: Option<Millis>,
    /// Whether SIGKILL was sent to the process or it was paused, so that its end no longer tells
    /// anything about the product.
    interfered: bool,
    /// The disruption that ends once the process is back.
    disruption: Option<DisruptionId>,
    /// Whether the next start finds an empty disk.
    wipe: bool,
}

impl Vm {
    /// Creates a VM without a process.
    #[must_use]
    pub fn new(config: Config) -> Arc<Self> {
        Arc::new(Self {
            config,
            state: Mutex::default(),
        })
    }

    /// Returns the address at which it takes callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.config.ip, settings::CALLERS)
    }

    /// Returns the address at which it reports whether it is ready.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.config.ip, settings::READY)
    }

    /// Returns the address at which other VMs connect to it.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.config.ip, settings::PEERS)
    }

    /// Returns the id of its process, if it has one.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.state().process.as_ref().map(Process::id)
    }

    /// Starts the process and restarts it after each end, for as long as the future is polled.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or its state can't be read.
    pub async fn run(self: Arc<Self>, context: Arc<Context>) -> io::Result<()> {
        loop {
            self.start(&context)?;
            let status = self.wait_for_exit(&context).await?;
            let disruption = self.record_exit(&context, status);
            sleep(RESTART_DELAY).await;
            if let Some(disruption) = disruption {
                tokio::spawn(end_disruption(context.clone(), disruption));
            }
        }
    }

    /// Sends SIGTERM. Returns false and sends nothing if there is no process, or if it is already
    /// stopping, killed or paused.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn stop(&self, context: &Context) -> io::Result<bool> {
        let mut state = self.state();
        if state.term_sent_at.is_some() || state.interfered || state.process.is_none() {
            return Ok(false);
        }
        let now = context.oracle().now();
        state.term_sent_at = Some(now);
        context.oracle().history.note_stop(self.config.index, now);
        self.note_lost(context);
        state.signal(Signal::Term)?;
        Ok(true)
    }

    /// Returns whether its process is running and is neither stopping, killed nor paused.
    #[must_use]
    pub fn is_undisturbed(&self) -> bool {
        let state = self.state();
        state.process.is_some() && state.term_sent_at.is_none() && !state.interfered
    }

    /// Returns when SIGTERM was sent to the current process, unless it was also killed or paused.
    #[must_use]
    pub fn stopped_at(&self) -> Option<Millis> {
        let state = self.state();
        state
            .term_sent_at
            .filter(|_| state.process.is_some() && !state.interfered)
    }

    /// Sends SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn reload(&self, context: &Context) -> io::Result<()> {
        let now = context.oracle().now();
        context.oracle().history.note_reload(self.config.index, now);
        self.state().signal(Signal::Hup)
    }

    /// Sends SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn kill(&self, context: &Context) -> io::Result<()> {
        self.note_lost(context);
        let mut state = self.state();
        state.disrupt(context);
        state.signal(Signal::Kill)
    }

    /// Sends SIGKILL and has the next start find an empty disk.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn wipe(&self, context: &Context) -> io::Result<()> {
        self.state().wipe = true;
        self.kill(context)
    }

    /// Pauses the process for `span`.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub async fn pause(&self, context: &Context, span: Millis) -> io::Result<()> {
        self.note_lost(context);
        let disruption = {
            let mut state = self.state();
            state.interfered = true;
            state.signal(Signal::Stop)?;
            let mut oracle = context.oracle();
            let now = oracle.now();
            oracle.history.begin_disruption(now)
        };
        sleep(span.as_duration()).await;
        let mut state = self.state();
        state.signal(Signal::Cont)?;
        // Its end tells about the product again, unless it is stopping or was killed.
        state.interfered = state.term_sent_at.is_some() || state.disruption.is_some();
        let mut oracle = context.oracle();
        let now = oracle.now();
        oracle.history.end_disruption(disruption, now);
        oracle.history.note_disk_back(self.config.index, now);
        Ok(())
    }

    /// Records that the VM is lost, if it has a disk.
    fn note_lost(&self, context: &Context) {
        if self.config.disk.is_some() {
            let mut oracle = context.oracle();
            let now = oracle.now();
            oracle.history.note_disk_lost(self.config.index, now);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self, context: &Context) -> io::Result<()> {
        let mut state = self.state();
        let wipe = std::mem::take(&mut state.wipe);
        if let Some(disk) = self.config.disk.as_ref().filter(|_| wipe) {
            fs::remove_dir_all(disk)?;
        }
        let role = match self.config.disk {
            Some(_) => "store",
            None => "front",
        };
        state.process = Some(Process::start(&Program {
            binary: &self.config.binary,
            role,
            settings: &self.config.settings,
            log: &self.config.log,
        })?);
        state.term_sent_at = None;
        state.interfered = false;
        let mut oracle = context.oracle();
        let now = oracle.now();
        oracle.history.note_disk_back(self.config.index, now);
        Ok(())
    }

    /// Waits until the process ends, and kills it if it outlasts its grace period.
    async fn wait_for_exit(&self, context: &Context) -> io::Result<ExitStatus> {
        loop {
            {
                let mut state = self.state();
                let process = state.process.as_mut();
                if let Some(status) = process.map(Process::exit_status).transpose()?.flatten() {
                    return Ok(status);
                }
                let now = context.oracle().now();
                let is_over = state.term_sent_at.is_some_and(|at| now.since(at) >= GRACE);
                if is_over && state.disruption.is_none() {
                    if !state.interfered {
                        let what = "SIGKILL after its grace".to_owned();
                        context.oracle().record_stop(self.config.index, Some(what));
                    }
                    state.disrupt(context);
                    state.signal(Signal::Kill)?;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Records and checks how the process ended. Returns the disruption that ends with its restart.
    fn record_exit(&self, context: &Context, status: ExitStatus) -> Option<DisruptionId> {
        let mut state = self.state();
        state.process = None;
        if state.interfered {
            return state.disruption.take();
        }
        let index = self.config.index;
        if state.term_sent_at.is_some() {
            let broken = (!status.success()).then(|| status.to_string());
            context.oracle().record_stop(index, broken);
        } else {
            let what = format!("ended unasked: {status}");
            context.oracle().record_vm(Check::Lives, index, Some(&what));
        }
        state.disruption.take()
    }
}

impl State {
    fn signal(&self, signal: Signal) -> io::Result<()> {
        // If the process has just ended, there is nothing to signal.
        self.process
            .as_ref()
            .map_or(Ok(()), |process| process.signal(signal))
    }

    fn disrupt(&mut self, context: &Context) {
        self.interfered = true;
        if self.disruption.is_none() {
            let mut oracle = context.oracle();
            let now = oracle.now();
            self.disruption = Some(oracle.history.begin_disruption(now));
        }
    }
}

async fn end_disruption(context: Arc<Context>, disruption: DisruptionId) {
    sleep(STARTUP_TIME).await;
    let mut oracle = context.oracle();
    let now = oracle.now();
    oracle.history.end_disruption(disruption, now);
}

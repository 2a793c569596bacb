//! The signals that the process of a role handles.

use adapter::settings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use wire::event::Event;

/// The result of catching signals.
pub type Result<T> = std::io::Result<T>;

/// Requests to reload the settings (SIGHUP). Each is handled once the process runs, also if it
/// arrives earlier.
#[derive(Debug)]
pub struct Reloads(Signal);

/// All signals of a process that serves requests.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reloads: Reloads,
}

impl Reloads {
    /// Catches SIGHUP from now on. By default, the signal would end the process, so it has to be
    /// caught before the process reads its settings or its disk.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be caught.
    pub fn catch() -> Result<Self> {
        Ok(Self(signal(SignalKind::hangup())?))
    }
}

impl Signals {
    /// Catches SIGTERM and SIGINT from now on. They have to be caught before the process accepts
    /// requests. Until then, ending at once is what they are for.
    ///
    /// # Errors
    ///
    /// Fails if the signals can't be caught.
    pub fn catch(reloads: Reloads) -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reloads,
        })
    }

    /// Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP.
    pub async fn stopped(mut self) {
        let Reloads(hangup) = &mut self.reloads;
        loop {
            tokio::select! {
                _signal = self.terminate.recv() => return,
                _signal = self.interrupt.recv() => return,
                _signal = hangup.recv() => reload(),
            }
        }
    }
}

/// Reads the settings again. The settings that a process uses are fixed at its start, so a change
/// is only checked and logged.
fn reload() {
    let outcome = match settings::load() {
        Ok(settings) => format!("vm={} outcome=read", settings.vm),
        Err(fault) => format!("outcome=\"{fault}\""),
    };
    log::info!(
        "event=E{} text=\"{}\" {outcome}",
        Event::SettingsReloaded.number(),
        Event::SettingsReloaded.text()
    );
}

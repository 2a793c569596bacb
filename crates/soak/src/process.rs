//! One process of the product and the signals that it is sent.

use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

/// A signal, by the name that `kill` takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks it to end.
    Term,
    /// Says that its settings have changed.
    Hup,
    /// Freezes it.
    Stop,
    /// Wakes it up.
    Cont,
}

impl Signal {
    const fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Term => "-TERM",
            Self::Hup => "-HUP",
            Self::Stop => "-STOP",
            Self::Cont => "-CONT",
        }
    }
}

/// What a process runs.
#[derive(Clone, Copy, Debug)]
pub struct Program<'a> {
    /// The product's binary.
    pub binary: &'a Path,
    /// The role that it takes.
    pub role: &'a str,
    /// Its settings file.
    pub settings: &'a Path,
    /// Where its output is added.
    pub log: &'a Path,
}

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a process.
    ///
    /// `setpriv` has the kernel kill it when the thread that started it ends. Without, a soak that
    /// is killed leaves its processes behind, which keep their addresses and go on. It replaces
    /// itself by the program, so that the process's id stays the same.
    ///
    /// # Errors
    ///
    /// Fails where the log can't be written or the program can't be started.
    pub fn start(program: &Program<'_>) -> io::Result<Self> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(program.log)?;
        let child = Command::new("setpriv")
            .args(["--pdeathsig", "KILL"])
            .arg(program.binary)
            .arg(program.role)
            .env("CHESTNUTYOKE_CONFIG", program.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self(child))
    }

    /// Yields the process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal. The process hasn't been waited for, so its id can't be another's.
    ///
    /// # Errors
    ///
    /// Fails where the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.0.id().to_string();
        let status = Command::new("kill").arg(signal.flag()).arg(id).status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("{signal:?} wasn't sent")))
    }

    /// Yields how the process ended, if it has.
    ///
    /// # Errors
    ///
    /// Fails where the system can't tell.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only where it has ended already.
        let _gone = self.0.kill();
        let _status = self.0.wait();
    }
}

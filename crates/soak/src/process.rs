//! A process of the product and the signals that are sent to it.

use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

/// A signal that the command `kill` can send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks it to end.
    Term,
    /// Asks it to reload its settings.
    Hup,
    /// Pauses it.
    Stop,
    /// Resumes it.
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
    /// The role in which it runs.
    pub role: &'a str,
    /// Its settings file.
    pub settings: &'a Path,
    /// The file to which its output is appended.
    pub log: &'a Path,
}

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Starts a process.
    ///
    /// `setpriv` has the kernel kill the process when the thread that started it ends. Without it,
    /// a killed soak leaves processes behind, which go on running and keep their addresses.
    /// `setpriv` replaces itself by the program, so the process id stays the same.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be written or the program can't be started.
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

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal. The process has not been reaped, so its id can't belong to another process.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.0.id().to_string();
        let status = Command::new("kill").arg(signal.flag()).arg(id).status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other(format!("{signal:?} wasn't sent")))
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Errors
    ///
    /// Fails if the kernel can't report it.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.0.try_wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if it has ended already.
        let _gone = self.0.kill();
        let _status = self.0.wait();
    }
}

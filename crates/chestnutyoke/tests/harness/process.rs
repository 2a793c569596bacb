//! A process of the harness, and the signals that tests send it.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use super::TIMEOUT;

/// A signal, by the name that `kill` takes.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Asks the process to end.
    Term,
    /// Pauses the process.
    Stop,
    /// Resumes the process.
    Cont,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Term => "-TERM",
            Self::Stop => "-STOP",
            Self::Cont => "-CONT",
        }
    }
}

/// A running process; it is killed when dropped.
pub struct Process(Child);

impl Process {
    /// Starts a program, with its output appended to a file.
    pub fn start(program: &str, args: &[String], log: &Path) -> Self {
        let log = OpenOptions::new().create(true).append(true).open(log);
        let log = log.unwrap();
        let child = Command::new(program)
            .args(args)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self(child)
    }

    /// Starts a program that prints its address in its first line.
    pub fn start_listening(program: &str, args: &[String], log: &Path) -> (Self, SocketAddr) {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log).unwrap())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let out = child.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").map(str::parse);
        let Some(Ok(address)) = address else {
            panic!("{program} {args:?} printed {line:?}")
        };
        (Self(child), address)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").arg(signal.flag()).arg(id).status();
        assert!(sent.unwrap().success(), "{signal:?} wasn't sent");
    }

    /// Returns the states of the process and its threads, a line each: the letter that `ps` shows and the call
    /// of the kernel that a thread waits in.
    pub fn states(&self) -> String {
        let folder = format!("/proc/{}/task", self.0.id());
        let threads = fs::read_dir(folder).into_iter().flatten().flatten();
        let states = threads.map(|thread| {
            let read = |file| fs::read_to_string(thread.path().join(file)).unwrap_or_default();
            let status = read("status");
            let line = |name| status.lines().find(|line| line.starts_with(name));
            let fields =
                ["Name:", "State:", "SigPnd:", "ShdPnd:"].map(|name| line(name).unwrap_or(name));
            format!("{} wchan: {}\n", fields.join(" "), read("wchan"))
        });
        states.collect()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _gone = self.0.kill();
        let _status = self.0.wait();
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().unwrap()
    }

    /// Waits until the process ends by itself.
    pub async fn wait(&mut self) -> ExitStatus {
        let poll = async {
            loop {
                if let Some(status) = self.0.try_wait().unwrap() {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let status = tokio::time::timeout(TIMEOUT, poll).await;
        status.expect("the process didn't end")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

//! A small deployment of real processes on loopback, and a simple HTTP client for it.
#![allow(dead_code)] // each test file uses only a part

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;
use wire::id::Digest;

pub use standin::client::*;

/// A running process; it is killed when dropped.
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub line: String,
}

impl Process {
    /// Starts a process and waits for its first line.
    pub fn start(binary: &str, arguments: &[String]) -> Self {
        let mut command = Command::new(binary);
        command.args(arguments).stdout(Stdio::piped());
        if std::env::var_os("CHESTNUTYOKE_TEST_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().expect("the binary starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("stdout is piped");
        BufReader::new(out).read_line(&mut line).expect("a line");
        Self { child, line }
    }

    /// Returns an address from the first line: the one after `name=`, or the second word if `name`
    /// is empty.
    pub fn address(&self, name: &str) -> SocketAddr {
        let mut words = self.line.split_whitespace().skip(1);
        let found = words.find_map(|word| match name {
            "" => Some(word),
            _ => word.strip_prefix(name)?.strip_prefix('='),
        });
        found
            .and_then(|text| text.parse().ok())
            .expect("an address")
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, as `kill -9` does, and waits until it has ended.
    pub fn kill(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends the signal with this name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for the end and returns whether the exit status was success.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("a status").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a stand-in.
pub fn standin(name: &str, arguments: &[&str]) -> Process {
    let mut all = vec![name.to_owned(), "--listen".into(), "127.0.0.1:0".into()];
    all.extend(arguments.iter().map(|a| (*a).to_owned()));
    Process::start(env!("CARGO_BIN_EXE_chestnutyoke-standin"), &all)
}

/// A VM of the deployment.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub name: &'static str,
    /// Its data centre.
    pub centre: &'static str,
    /// Its listener for other VMs, chosen in advance because the others must know it.
    pub peers: SocketAddr,
}

/// Creates VMs, each with a free port for its peers.
pub fn vms(named: &[(&'static str, &'static str)]) -> Vec<Vm> {
    let vm = |(name, centre): &(&'static str, &'static str)| Vm {
        name,
        centre,
        peers: free_address(),
    };
    named.iter().map(vm).collect()
}

/// Returns an address that was free a moment ago.
///
/// Its port is below those that the kernel assigns to connections (from 32,768 on Linux). The
/// kernel may assign one of those to any connection before the node binds it, and the node then
/// fails to start.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(10_000 + number % 20_000).expect("below 30,000");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// Starts the node of one VM.
pub fn node(vm: &Vm, all: &[Vm], platform: SocketAddr, extra: &str) -> Process {
    let text = settings(vm, all, platform, extra);
    let name = format!("chestnutyoke-{}-{}.toml", vm.name, vm.peers.port());
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the settings are written");
    let arguments = [
        "serve".to_owned(),
        "--settings".into(),
        path.display().to_string(),
    ];
    Process::start(env!("CARGO_BIN_EXE_chestnutyoke"), &arguments)
}

fn settings(vm: &Vm, all: &[Vm], platform: SocketAddr, extra: &str) -> String {
    use std::fmt::Write;
    let mut text = format!(
        r#"
[vm]
name = "{}"
centre = "{}"

[listen]
callers = "127.0.0.1:0"
peers = "{}"
admin = "127.0.0.1:0"

[platform]
addresses = ["{platform}"]

"#,
        vm.name, vm.centre, vm.peers
    );
    let mut centres: Vec<&str> = all.iter().map(|vm| vm.centre).collect();
    centres.sort_unstable();
    centres.dedup();
    for centre in centres {
        writeln!(text, "[[centres]]\nname = \"{centre}\"\nshards = 2\n").expect("a string");
    }
    for peer in all.iter().filter(|peer| peer.name != vm.name) {
        writeln!(
            text,
            "[[peers]]\nname = \"{}\"\ncentre = \"{}\"\naddress = \"{}\"\n",
            peer.name, peer.centre, peer.peers
        )
        .expect("a string");
    }
    text.push_str(extra);
    text
}

/// Builds an endpoint of the configuration.
pub fn endpoint(name: &str, kind: &str, address: SocketAddr, centre: &str, serves: &str) -> Value {
    json!({"name": name, "kind": kind, "address": address.to_string(), "centre": centre,
           "serves": [serves], "slots": 8, "fences": true})
}

/// Builds a configuration with the caller `tug` and a selector that allows everything.
pub fn config(endpoints: &[Value]) -> Value {
    let caller = json!({"name": "tug", "token": Digest::of(TOKEN.as_bytes())});
    json!({
        "revision": 1,
        "nonce": 1,
        "callers": [caller],
        "endpoints": endpoints,
        "selectors": [{"name": "all"}],
    })
}

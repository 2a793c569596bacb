//! How the processes of the two roles end: what their logs say last.

use std::fs;
use std::io::Read;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use fakes::settings;
use rstest::rstest;

const BINARY: &str = env!("CARGO_BIN_EXE_chestnutyoke");
/// Nobody listens there: the process starts without the platform's service.
const NOBODY: &str = "127.0.0.1:9";

/// A role's process on an address of its own.
struct Process {
    child: Child,
    address: SocketAddr,
    folder: PathBuf,
}

impl Process {
    fn start(role: &str, last: u8) -> Self {
        let pid = std::process::id();
        let part = |value: u32| u8::try_from(value % 250).unwrap();
        let ip = IpAddr::from([127, 1 + part(pid), part(pid / 250), last]);
        let folder = std::env::temp_dir().join(format!("chestnutyoke-{pid}-{role}"));
        fs::create_dir_all(&folder).unwrap();
        let text = settings::text(&settings::Vm {
            name: &format!("{role}-1"),
            centre: "a",
            ip,
            advertised: None,
            store: NOBODY.parse().unwrap(),
            disk: Some(&folder.join("data")),
        });
        let file = folder.join("node.toml");
        fs::write(&file, text).unwrap();
        let child = Command::new(BINARY)
            .args([role, "--metrics-port", &settings::METRICS.to_string()])
            .env("CHESTNUTYOKE_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let process = Self {
            child,
            address: SocketAddr::new(ip, settings::METRICS),
            folder,
        };
        process.wait_until_it_listens();
        process
    }

    fn wait_until_it_listens(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            assert!(begun.elapsed() < Duration::from_secs(10), "no listener");
            sleep(Duration::from_millis(10));
        }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", "TERM", &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the end and yields all that was logged.
    fn log(&mut self) -> String {
        let mut text = String::new();
        let mut out = self.child.stdout.take().unwrap();
        out.read_to_string(&mut text).unwrap();
        assert!(self.child.wait().unwrap().success());
        text
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
        let _absent = fs::remove_dir_all(&self.folder);
    }
}

/// A VM is told to stop, and its process ends some seconds later. Whoever looks for the cause of an
/// answer that was cut off then has to see in the log when the process ended and what was under way;
/// the line is written just before the process ends, so the log has to be written out first.
#[rstest]
#[case::of_clients("front", 31)]
#[case::with_a_disk("store", 32)]
fn the_log_ends_with_the_end_of_the_process(#[case] role: &str, #[case] last: u8) {
    let mut process = Process::start(role, last);
    process.terminate();
    let log = process.log();
    assert!(log.contains("event=E1002"), "{log}");
    let end = log.lines().last().unwrap();
    assert!(end.contains("event=E1003"), "{end}");
}

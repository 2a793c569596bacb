//! How the processes of the two roles handle signals: what a reload before they serve does, the last
//! line of their logs, and what a VM with a disk still answers while it stops.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use fakes::settings;
use hyper::Request;
use link::body::Payload;
use link::client::Client;
use link::client::Limits;
use replica::call;
use replica::list::List;
use replica::list::Member;
use replica::message;
use replica::message::Answer;
use replica::message::Body;
use replica::record::Key;
use replica::record::Record;
use replica::record::Settlement;
use rstest::rstest;

const BINARY: &str = env!("CARGO_BIN_EXE_chestnutyoke");
/// An address without a listener: the process starts without the platform's service.
const NO_LISTENER: &str = "127.0.0.1:9";

/// The process of a role, on its own address.
struct Process {
    child: Child,
    address: SocketAddr,
    /// Its listener for other VMs.
    vms: SocketAddr,
    folder: PathBuf,
}

/// The folder and settings of a role's process.
struct Setup {
    role: String,
    ip: IpAddr,
    folder: PathBuf,
}

impl Setup {
    fn new(role: &str, last: u8) -> Self {
        let pid = std::process::id();
        let part = |value: u32| u8::try_from(value % 250).unwrap();
        let ip = IpAddr::from([127, 1 + part(pid), part(pid / 250), last]);
        let folder = std::env::temp_dir().join(format!("chestnutyoke-{pid}-{role}-{last}"));
        fs::create_dir_all(&folder).unwrap();
        let setup = Self {
            role: role.to_owned(),
            ip,
            folder,
        };
        let text = settings::text(&settings::Vm {
            name: &format!("{role}-1"),
            centre: "a",
            ip,
            advertised: None,
            store: NO_LISTENER.parse().unwrap(),
            disk: Some(&setup.folder.join("data")),
        });
        fs::write(setup.file(), text).unwrap();
        setup
    }

    /// Returns the path of the settings file.
    fn file(&self) -> PathBuf {
        self.folder.join("node.toml")
    }

    /// Returns the path of the disk's identity.
    fn identity(&self) -> PathBuf {
        self.folder.join("data/identity")
    }

    fn spawn(&self) -> Process {
        let child = Command::new(BINARY)
            .args([&self.role, "--metrics-port", &settings::METRICS.to_string()])
            .env("CHESTNUTYOKE_CONFIG", self.file())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        Process {
            child,
            address: SocketAddr::new(self.ip, settings::METRICS),
            vms: SocketAddr::new(self.ip, settings::PEERS),
            folder: self.folder.clone(),
        }
    }
}

/// A file whose reader waits, as on a slow disk.
struct SlowFile {
    path: PathBuf,
    bytes: Vec<u8>,
}

impl SlowFile {
    /// Makes a file slow for its next reader.
    fn of(path: &Path) -> Self {
        let bytes = fs::read(path).unwrap();
        fs::remove_file(path).unwrap();
        let made = Command::new("mkfifo").arg(path).status().unwrap();
        assert!(made.success());
        Self {
            path: path.to_owned(),
            bytes,
        }
    }

    /// Waits until a process reads the file, calls `meanwhile`, and lets the process read on. Later
    /// readers don't wait.
    fn read_during(&self, meanwhile: impl FnOnce()) {
        let mut pipe = OpenOptions::new().write(true).open(&self.path).unwrap();
        let usual = self.path.with_extension("usual");
        fs::write(&usual, &self.bytes).unwrap();
        fs::rename(&usual, &self.path).unwrap();
        meanwhile();
        // Fails if the process has ended, which the caller finds out.
        let _ended = pipe.write_all(&self.bytes);
    }
}

impl Process {
    fn start(role: &str, last: u8) -> Self {
        let process = Setup::new(role, last).spawn();
        process.wait_until_listening();
        process
    }

    fn wait_until_listening(&self) {
        let begun = Instant::now();
        while TcpStream::connect(self.address).is_err() {
            assert!(begun.elapsed() < Duration::from_secs(10), "no listener");
            sleep(Duration::from_millis(10));
        }
    }

    /// Waits until the process's metrics contain a line.
    fn wait_for_metric(&self, line: &str) {
        let begun = Instant::now();
        loop {
            let mut stream = TcpStream::connect(self.address).unwrap();
            let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).unwrap();
            let mut text = String::new();
            stream.read_to_string(&mut text).unwrap();
            if text.contains(line) {
                return;
            }
            assert!(begun.elapsed() < Duration::from_secs(5), "{text}");
            sleep(Duration::from_millis(10));
        }
    }

    fn terminate(&self) {
        self.signal("TERM");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.unwrap().success());
    }

    /// Waits for the end of the process and returns its whole log.
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

/// A VM is told to stop, and its process ends some seconds later. To find the cause of an answer
/// that was cut off at that time, the log must show when the process ended and what was in
/// progress. That line is written just before the process ends, so the log must be flushed before
/// the exit.
#[rstest]
#[case::front("front", 31)]
#[case::store("store", 32)]
fn the_last_log_line_is_the_end_of_the_process(#[case] role: &str, #[case] last: u8) {
    let mut process = Process::start(role, last);
    process.terminate();
    let log = process.log();
    assert!(log.contains("event=E1002"), "{log}");
    let end = log.lines().last().unwrap();
    assert!(end.contains("event=E1003"), "{end}");
}

/// Operators ask all VMs to reload their settings while a process starts and still reads its
/// settings. If the process didn't catch the signal yet, it would end.
#[rstest]
#[case::front("front", 34)]
#[case::store("store", 35)]
fn a_reload_while_the_settings_are_read_does_not_end_the_process(
    #[case] role: &str,
    #[case] last: u8,
) {
    let setup = Setup::new(role, last);
    let settings = SlowFile::of(&setup.file());
    let mut process = setup.spawn();
    settings.read_during(|| process.signal("HUP"));
    process.wait_until_listening();
    process.terminate();
    assert!(process.log().contains("event=E1004"));
}

/// The same for a VM with a disk that reads a long disk as it starts.
#[test]
fn a_reload_while_the_disk_is_read_does_not_end_the_process() {
    let setup = Setup::new("store", 36);
    let mut process = setup.spawn();
    process.wait_until_listening();
    process.terminate();
    process.log();
    let identity = SlowFile::of(&setup.identity());
    let mut process = setup.spawn();
    identity.read_during(|| process.signal("HUP"));
    process.wait_until_listening();
    process.terminate();
    assert!(process.log().contains("event=E1004"));
}

/// A caller has connected while a stopping VM was paused, and the VM goes on just before it is killed.
/// If the process ended at once because its time was over, the connection that it has just accepted
/// would end without an answer, and the caller couldn't know that its order has not run.
#[test]
fn a_caller_that_connects_during_a_pause_is_answered_before_the_end() {
    let setup = Setup::new("front", 37);
    let text = fs::read_to_string(setup.file()).unwrap();
    let usual = format!("graceS = {}\n", settings::GRACE_S);
    fs::write(setup.file(), text.replace(&usual, "graceS = 2\n")).unwrap();
    let mut process = setup.spawn();
    process.wait_until_listening();
    sleep(Duration::from_secs(1));
    process.terminate();
    let begun = Instant::now();
    let sleep_until = |ms| sleep(Duration::from_millis(ms).saturating_sub(begun.elapsed()));
    sleep_until(1_400);
    process.signal("STOP");
    let callers = SocketAddr::new(setup.ip, settings::CALLERS);
    let mut stream = TcpStream::connect(callers).unwrap();
    let order =
        "POST /order/x HTTP/1.1\r\nhost: x\r\nrequest-id: o1\r\ncontent-length: 2\r\n\r\nin";
    stream.write_all(order.as_bytes()).unwrap();
    sleep_until(1_750);
    process.signal("CONT");
    let mut answer = String::new();
    let _reset = stream.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(process.log().contains("event=E1003"));
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// Calls a VM with a disk and waits for its answer; returns `None` if the connection breaks.
async fn call_vm(address: SocketAddr, version: u64, body: Body) -> Option<Answer> {
    let client = Client::new(Limits {
        connect_timeout: Duration::from_secs(1),
        unacked_timeout: Duration::from_secs(5),
        idle_timeout: Duration::ZERO,
        reuse_delay: Duration::ZERO,
        max_idle: 1,
        max_buffer: 64 * 1024,
        max_answer: u64::MAX,
    });
    let request = Request::post(message::PATH).header("host", "store");
    let request = request.body(Payload::from(call::encode(version, body).unwrap()));
    let reply = client.send(address, request.unwrap()).await.ok()?;
    let bytes = reply.body.whole(1_000_000).await.ok()?;
    Some(rmp_serde::from_slice(&bytes).unwrap())
}

fn settlement(turn: &str) -> Body {
    Body::Apply(vec![Record::Settle(Settlement {
        program: Key::of("p1"),
        turn: Key::of(turn),
        used: 50,
    })])
}

/// A VM with a disk is recording a turn's tokens on a slow disk when it gets SIGTERM. If its
/// shutdown didn't wait for the write, the writer would get one answer less; when two of three VMs
/// stop at the same time, the write would fail although its record is stored. A later write
/// is refused at once, so that its writer needn't wait for a process that is ending, and so is the
/// status request that shows whether enough members accept writes.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_with_a_disk_answers_the_writes_that_it_accepted() {
    let mut process = Process::start("store", 33);
    let vms = process.vms;
    // The disk's thread blocks from its next identity check until somebody reads from the pipe.
    let slow = process.folder.join("data/identity.next");
    let made = Command::new("mkfifo").arg(&slow).status().unwrap();
    assert!(made.success());
    let list = List::default().with(&Member {
        vm: "store-1".to_owned(),
        centre: "a".to_owned(),
        address: vms,
        disk: 7,
    });
    let version = list.version;
    let _adopted = tokio::spawn(call_vm(vms, 0, Body::Adopt(list)));
    process.wait_for_metric("chestnutyoke_members_version 1\n");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let taken = tokio::spawn(call_vm(vms, version, settlement("t1")));
    process.wait_for_metric("chestnutyoke_accounts 1\n");
    process.terminate();
    let begun = Instant::now();
    while !matches!(
        call_vm(vms, version, Body::Status).await,
        Some(Answer::Failed(_))
    ) {
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "it doesn't refuse requests"
        );
    }
    let late = tokio::spawn(call_vm(vms, version, settlement("t2")));
    tokio::time::sleep(Duration::from_millis(600)).await;
    let refused = late.is_finished();
    // A pipe can't be synced, so the process writes its identity again, to a file.
    let pipe = slow.with_extension("pipe");
    fs::rename(&slow, &pipe).unwrap();
    let reader = thread::spawn(move || File::open(pipe).unwrap().read_to_end(&mut Vec::new()));
    let released = Instant::now();
    let answer = taken.await.unwrap();
    assert!(matches!(answer, Some(Answer::Applied(_))), "{answer:?}");
    assert!(refused, "the later write isn't refused at once");
    let late = late.await.unwrap();
    assert!(matches!(late, Some(Answer::Failed(_))), "{late:?}");
    let log = process.log();
    assert!(released.elapsed() < Duration::from_secs(2));
    assert!(log.lines().last().unwrap().contains("event=E1003"), "{log}");
    reader.join().unwrap().unwrap();
}

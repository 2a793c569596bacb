//! The life, memory and descriptors of a real process whose listeners are used by clients outside the limits,
//! and one ordinary request after them.
//!
//! The memory is what the kernel counts for the process. Bytes that wait unread in the kernel come on top:
//! at most the receive buffer of each connection.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fakes::caller;
use fakes::caller::Caller;
use fakes::hostile::Crowd;
use fakes::hostile::Form;
use fakes::scripted::Behaviour;
use fakes::scripted::Runner;
use fakes::settings as file;
use fakes::store;
use fakes::store::HOST;
use fakes::store::Store;
use fakes::verbatim;
use fakes::verbatim::Step;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::sleep;
use tokio::time::timeout;

/// The memory of the VM in its settings, in megabytes, and in bytes.
const MEMORY_MB: u64 = 40;
const MEMORY: u64 = MEMORY_MB * 1_000_000;
/// The descriptors of the VM in its settings, and how many of them the platform reserves for files.
const MAX_FDS: usize = 260;
const RESERVED_FDS: usize = 200;
/// How many clients outside the limits there are.
const CROWD: usize = 60;
/// The length of the answers that aren't read, in bytes.
const LARGE: usize = 1024 * 1024;
/// How long the process may take to start, and an ordinary request to be answered.
const PATIENCE: Duration = Duration::from_secs(20);
/// The pause between two attempts of an ordinary client.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Held by each test, so that none runs beside another.
static ALONE: Mutex<()> = Mutex::const_new(());

/// The second byte of the next deployment's addresses.
static NETS: AtomicU8 = AtomicU8::new(0x71);

/// A listener of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    Callers,
    Ready,
    Vms,
    Metrics,
}

impl Listener {
    const fn port(self) -> u16 {
        match self {
            Self::Callers => file::CALLERS,
            Self::Ready => file::READY,
            Self::Vms => file::PEERS,
            Self::Metrics => file::METRICS,
        }
    }
}

/// The process of a role, the platform, and the runners of two services.
struct Deployment {
    child: Child,
    ip: IpAddr,
    folder: PathBuf,
    role: &'static str,
    _store: Store,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
        let _absent = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    async fn start(role: &'static str) -> Self {
        let [_, _, high, low] = process::id().to_be_bytes();
        // The stand-ins of the tests before may still be listening.
        let net = NETS.fetch_add(1, Ordering::Relaxed);
        let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, net, high ^ last, low));
        let store = Store::start(SocketAddr::new(ip(1), 8142)).await;
        let small = Runner::start(SocketAddr::new(ip(2), 0), Behaviour::Answers).await;
        store.put_runner("i-2", "ops", small.address, "ready");
        let large = verbatim::Runner::new(vec![vec![Step::Write(large_answer())]]);
        let large = large.listen(SocketAddr::new(ip(3), 0)).await;
        store.put_runner("i-3", "spare", large, "ready");
        let route = store::route("large", "idempotent", "spare", 60_000, r#","attempts":1"#);
        store.configure(1, &format!(",{route}"));
        let folder = std::env::temp_dir().join(format!("chestnutyoke-hostile-{low}-{high}"));
        let _absent = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let text = file::text(&file::Vm {
            name: "vm-a-1",
            centre: "a",
            ip: ip(0),
            advertised: None,
            store: store.address,
            disk: Some(&folder.join("data")),
        });
        let limits = format!("memoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}");
        let settings = folder.join("settings.toml");
        fs::write(&settings, text.replace("memoryMb = 110", &limits)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_chestnutyoke"))
            .arg(role)
            .env("CHESTNUTYOKE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let deployment = Self {
            child,
            ip: ip(0),
            folder,
            role,
            _store: store,
        };
        deployment.wait_ordinary(Listener::Callers).await;
        deployment
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        SocketAddr::new(self.ip, listener.port())
    }

    /// Waits until an ordinary request to a listener, and one of an ordinary caller, are answered.
    async fn wait_ordinary(&self, listener: Listener) {
        let answered = async {
            while !self.serves(listener).await {
                sleep(RETRY_PAUSE).await;
            }
        };
        let answered = timeout(PATIENCE, answered).await;
        assert!(answered.is_ok(), "no answer at {listener:?}");
    }

    async fn serves(&self, listener: Listener) -> bool {
        let answer = caller::status(self.address(Listener::Metrics), "/metrics").await;
        if answer != Some(200) {
            return false;
        }
        if self.role == "store" {
            return caller::status(self.address(Listener::Vms), "/")
                .await
                .is_some();
        }
        if caller::status(self.address(listener), "/").await.is_none() {
            return false;
        }
        let caller = Caller::new(self.address(Listener::Callers));
        let asked = tokio::spawn(async move { caller.ask("/look/x", "s1", &[], "x").await });
        asked.await.is_ok_and(|got| got.status == 200)
    }

    /// Returns the most memory that the process has had, in bytes, as the kernel counts it.
    fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmHWM"))
            .unwrap();
        let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        kib * 1024
    }

    fn descriptors(&self) -> usize {
        let folder = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        folder.unwrap().count()
    }

    /// Lets a crowd play at a listener. While its connections are still open, the process has to be alive and
    /// within its settings, and to serve an ordinary request.
    async fn withstand(&mut self, listener: Listener, form: Form) {
        let before = (self.peak_memory(), self.descriptors());
        let crowd = Crowd::play(self.address(listener), form, "/large/x", CROWD).await;
        let descriptors = self.descriptors();
        self.wait_ordinary(listener).await;
        let descriptors = descriptors.max(self.descriptors());
        let memory = self.peak_memory();
        drop(crowd);
        println!(
            "{listener:?} {form:?}: {before:?} before, {memory} bytes, {descriptors} descriptors"
        );
        assert_eq!(
            self.child.try_wait().unwrap(),
            None,
            "the process has ended"
        );
        assert!(memory < MEMORY, "{memory} bytes");
        assert!(
            descriptors <= MAX_FDS - RESERVED_FDS,
            "{descriptors} descriptors"
        );
    }
}

fn large_answer() -> String {
    let body = "x".repeat(LARGE);
    let id = verbatim::ID;
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\ncontent-length: {LARGE}\r\n\r\n{body}"
    )
}

/// Guards against callers outside the limits that use up a VM's memory or descriptors, or keep others from
/// being served.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_outside_the_limits_leave_room_for_others(
    #[values(
        Form::Silence,
        Form::EmptyLines,
        Form::SlowEmptyLines,
        Form::Target,
        Form::Fields,
        Form::ShortFields,
        Form::HalfHead,
        Form::LongHead,
        Form::ManyFields,
        Form::HalfBody,
        Form::NoBody,
        Form::ChunkZeros,
        Form::ChunkBytes,
        Form::ChunkExtension,
        Form::Trailers,
        Form::Expect,
        Form::Garbage,
        Form::Leaving,
        Form::Pipelined,
        Form::Unread,
        Form::Idle,
        Form::Served
    )]
    form: Form,
) {
    let _alone = ALONE.lock().await;
    let mut deployment = Deployment::start("front").await;
    deployment.withstand(Listener::Callers, form).await;
}

/// Guards against clients that use up a VM's memory or descriptors at the listeners beside that for callers.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn other_listeners_leave_room_for_callers(
    #[values(Listener::Ready, Listener::Vms, Listener::Metrics)] listener: Listener,
    #[values(
        Form::Silence,
        Form::EmptyLines,
        Form::Target,
        Form::Fields,
        Form::HalfHead,
        Form::ManyFields,
        Form::HalfBody,
        Form::ChunkBytes,
        Form::Pipelined
    )]
    form: Form,
) {
    let _alone = ALONE.lock().await;
    let mut deployment = Deployment::start("front").await;
    deployment.withstand(listener, form).await;
}

/// Guards against clients that use up the memory or descriptors of a VM with a disk.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn listeners_of_a_vm_with_a_disk_stay_within_its_settings(
    #[values(Listener::Vms, Listener::Metrics)] listener: Listener,
    #[values(
        Form::Silence,
        Form::EmptyLines,
        Form::Target,
        Form::Fields,
        Form::HalfHead,
        Form::ManyFields,
        Form::HalfBody,
        Form::ChunkBytes,
        Form::Pipelined
    )]
    form: Form,
) {
    let _alone = ALONE.lock().await;
    let mut deployment = Deployment::start("store").await;
    deployment.withstand(listener, form).await;
}

/// A single request, and how it is sent.
struct Single {
    name: &'static str,
    /// The pieces of the request, and the pause after each.
    pieces: Vec<(Vec<u8>, Duration)>,
}

impl Single {
    fn whole(name: &'static str, bytes: impl Into<Vec<u8>>) -> Self {
        Self {
            name,
            pieces: vec![(bytes.into(), Duration::ZERO)],
        }
    }

    /// Sends the request and returns the head of the answer; empty if the connection ends without one.
    async fn ask(&self, address: SocketAddr) -> String {
        let mut stream = TcpStream::connect(address).await.unwrap();
        for (bytes, pause) in &self.pieces {
            if stream.write_all(bytes).await.is_err() {
                break;
            }
            sleep(*pause).await;
        }
        let mut answer = vec![0; 4096];
        let read = timeout(PATIENCE, stream.read(&mut answer)).await;
        let count = read.unwrap_or(Ok(0)).unwrap_or(0);
        String::from_utf8_lossy(&answer[..count]).into_owned()
    }
}

/// Renders a request with `fields` whose head has `bytes` bytes, or as many as the fields need.
fn head(fields: &str, bytes: usize) -> Vec<u8> {
    let start = format!(
        "POST /look/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: one\r\ndeadline-ms: 15000\r\n{fields}"
    );
    let padding = "x".repeat(bytes.saturating_sub(start.len() + "pad: \r\n\r\n".len()));
    format!("{start}pad: {padding}\r\n\r\n").into_bytes()
}

fn with_body(fields: &str, body: &[u8]) -> Vec<u8> {
    let mut request = head(fields, 0);
    request.extend_from_slice(body);
    request
}

/// The requests within the limits of the stand-in's configuration: 16,384 bytes of a head, 3 s for it,
/// 4,194,304 bytes of a body, 15 s of idleness.
fn singles_within_the_limits() -> Vec<Single> {
    let empty = "content-length: 0\r\n";
    let chunked = "transfer-encoding: chunked\r\n";
    let body = vec![b'x'; 4_194_304];
    let path = head(empty, 0);
    let path = String::from_utf8(path).unwrap();
    let path = path.replacen("/look/x", &format!("/look/{}", "x".repeat(16_000)), 1);
    let slow = head(empty, 1_000);
    let pause = Duration::from_millis(600);
    let slow = slow.chunks(250).map(|piece| (piece.to_vec(), pause));
    let mut large_chunk = format!("{:x}\r\n", body.len()).into_bytes();
    large_chunk.extend_from_slice(&body);
    large_chunk.extend_from_slice(b"\r\n0\r\n\r\n");
    let short_chunks = "1\r\nx\r\n".repeat(5_000) + "0\r\n\r\n";
    let sized = format!("content-length: {}\r\n", body.len());
    let mut after_empty_line = b"\r\n".to_vec();
    after_empty_line.extend_from_slice(&head(empty, 0));
    vec![
        Single::whole(
            "150 fields",
            head(&format!("{}{empty}", "a: b\r\n".repeat(150)), 0),
        ),
        Single::whole(
            "1,000 fields",
            head(&format!("{}{empty}", "a: b\r\n".repeat(1_000)), 0),
        ),
        Single::whole(
            "4,000 fields",
            head(&format!("{}{empty}", "a:\r\n".repeat(4_000)), 0),
        ),
        Single::whole("the longest head", head(empty, 16_384)),
        Single::whole("a long path", path),
        Single::whole("an empty line first", after_empty_line),
        Single::whole("the longest body", with_body(&sized, &body)),
        Single::whole(
            "the longest body in a chunk",
            with_body(chunked, &large_chunk),
        ),
        Single::whole(
            "chunks of one byte",
            with_body(chunked, short_chunks.as_bytes()),
        ),
        Single {
            name: "a slow head",
            pieces: slow.collect(),
        },
        Single {
            name: "an idle connection",
            pieces: vec![
                (Vec::new(), Duration::from_secs(12)),
                (head(empty, 0), Duration::ZERO),
            ],
        },
    ]
}

/// Guards against limits that a client within those of the configuration meets.
#[tokio::test(flavor = "multi_thread")]
async fn single_requests_within_the_limits_are_served() {
    let _alone = ALONE.lock().await;
    let deployment = Deployment::start("front").await;
    let address = deployment.address(Listener::Callers);
    for single in singles_within_the_limits() {
        let answer = single.ask(address).await;
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "{}: {answer:?}",
            single.name
        );
    }
}

/// Guards against heads over the configuration's limit that reach an endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_over_the_limit_is_refused() {
    let _alone = ALONE.lock().await;
    let deployment = Deployment::start("front").await;
    for bytes in [20_000, 32_768, 300_000] {
        let single = Single::whole("a long head", head("content-length: 0\r\n", bytes));
        let answer = single.ask(deployment.address(Listener::Callers)).await;
        assert!(answer.starts_with("HTTP/1.1 431"), "{bytes}: {answer:?}");
    }
}

/// Guards against a head that its caller never completes.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_takes_too_long_ends_its_connection() {
    let _alone = ALONE.lock().await;
    let deployment = Deployment::start("front").await;
    let mut pieces: Vec<_> = (0..18)
        .map(|_| (b"\r\n".to_vec(), Duration::from_millis(500)))
        .collect();
    pieces.push((head("content-length: 0\r\n", 0), Duration::ZERO));
    let single = Single {
        name: "a head of nine seconds",
        pieces,
    };
    let answer = single.ask(deployment.address(Listener::Callers)).await;
    assert_eq!(answer, "");
}

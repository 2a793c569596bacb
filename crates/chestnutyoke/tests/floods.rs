//! The memory of a real process while the answers of many requests grow without end, each of them below the
//! bound of its connection.

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use fakes::caller;
use fakes::caller::Caller;
use fakes::endless::Endless;
use fakes::endless::Pace;
use fakes::member;
use fakes::member::Member;
use fakes::scripted::Behaviour;
use fakes::scripted::Runner;
use fakes::settings as file;
use fakes::store;
use fakes::store::HOST;
use fakes::store::Store;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The memory of the VM in its settings, in bytes.
const MEMORY: u64 = 110_000_000;
/// How many requests are under way at once whose answers have no end.
const CALLS: usize = 400;
/// The pause between two samples of the memory, and two requests to the sound service.
const PAUSE: Duration = Duration::from_millis(100);
/// The deadline of all requests, and how long their connections may be open after it.
const DEADLINE: Duration = Duration::from_millis(2_500);
const SLACK: Duration = Duration::from_secs(4);

/// A process that takes callers, its platform, and a faulty and a sound service.
struct Deployment {
    child: Child,
    ip: IpAddr,
    folder: PathBuf,
    faulty: Vec<Runner>,
    _store: Store,
    _members: Vec<Member>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
        let _absent = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    async fn start(net: u8, endless: Endless, pace: Pace) -> Self {
        let [_, _, high, low] = process::id().to_be_bytes();
        let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, net, high ^ last, low));
        let store = Store::start(SocketAddr::new(ip(1), 8142)).await;
        let mut faulty = Vec::new();
        for last in 2..5 {
            let address = SocketAddr::new(ip(last), 8080);
            faulty.push(Runner::start(address, Behaviour::NeverEnds(endless, pace)).await);
            store.put_runner(&format!("i-{last}"), "faulty", address, "ready");
        }
        let sound = SocketAddr::new(ip(5), 8080);
        Runner::start(sound, Behaviour::Answers).await;
        store.put_runner("i-5", "sound", sound, "ready");
        let mut members = Vec::new();
        for last in 11..14 {
            members.push(Member::start(SocketAddr::new(ip(last), file::PEERS)).await);
        }
        member::list(&members, &store);
        store.configure(1, &format!(",{}", routes().join(",")));
        let folder = std::env::temp_dir().join(format!("chestnutyoke-floods-{net}-{low}-{high}"));
        let deployment = Self {
            child: spawn(&folder, ip(0), store.address),
            ip: ip(0),
            folder,
            faulty,
            _store: store,
            _members: members,
        };
        deployment.wait_ready().await;
        deployment
    }

    async fn wait_ready(&self) {
        let url = SocketAddr::new(self.ip, file::METRICS);
        for _ in 0..200 {
            sleep(Duration::from_millis(50)).await;
            if TcpStream::connect(url).await.is_ok()
                && self.metric("runners ").await == 4
                && self.metric("ready").await == 1
            {
                return;
            }
        }
        panic!("the process isn't ready");
    }

    async fn metric(&self, name: &str) -> u64 {
        let text = caller::text(SocketAddr::new(self.ip, file::METRICS), "/metrics").await;
        let name = format!("chestnutyoke_{name}");
        let line = text.lines().find(|line| line.starts_with(&name)).unwrap();
        line.split(' ').next_back().unwrap().parse().unwrap()
    }

    /// Sends a request in the background and throws its answer away as it comes.
    fn ask(&self, path: &str, id: &str) {
        let deadline_ms = DEADLINE.as_millis();
        let address = SocketAddr::new(self.ip, file::CALLERS);
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: {deadline_ms}\r\nconnection: close\r\ncontent-length: 1\r\n\r\nx"
        );
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(head.as_bytes()).await.unwrap();
            let mut piece = vec![0; 16 * 1024];
            while stream.read(&mut piece).await.is_ok_and(|count| count > 0) {}
        });
    }

    /// Sends the requests to the faulty service, and calls the sound one until they have ended. Returns the
    /// memory of the process before, and the most that it took.
    async fn play(&self, path: &str) -> (u64, u64) {
        let before = self.metric("memory_bytes").await;
        for number in 0..CALLS {
            self.ask(path, &format!("q{number}"));
            // So that the listener's queue has room for all.
            sleep(Duration::from_millis(1)).await;
        }
        let mut most = before;
        let mut sound = Vec::new();
        let started = Instant::now();
        while started.elapsed() < DEADLINE + SLACK {
            sleep(PAUSE).await;
            let caller = Caller::new(SocketAddr::new(self.ip, file::CALLERS));
            let id = format!("s{}", sound.len());
            let asked = async move { caller.ask("/sound/x", &id, &[], "x").await };
            sound.push(tokio::spawn(asked));
            most = most.max(self.metric("memory_bytes").await);
            if started.elapsed() > DEADLINE && self.metric("requests_at_runners").await == 0 {
                break;
            }
        }
        for call in sound {
            let got = call.await.unwrap();
            assert_eq!(got.status, 200, "{got:?}");
        }
        (before, most)
    }
}

fn routes() -> [String; 4] {
    let once = r#","attempts":1"#;
    let kept = r#","attempts":1,"retain":true,"retainS":60.0"#;
    [
        store::route("sound", "non_idempotent", "sound", 60_000, once),
        store::route("plain", "non_idempotent", "faulty", 60_000, once),
        store::route("events", "stream", "faulty", 60_000, once),
        store::route("turns", "stream", "faulty", 60_000, kept),
    ]
}

fn spawn(folder: &Path, ip: IpAddr, store: SocketAddr) -> Child {
    fs::create_dir_all(folder).unwrap();
    let settings = folder.join("settings.toml");
    let text = file::text(&file::Vm {
        name: "front-a-1",
        centre: "a",
        ip,
        advertised: None,
        store,
        disk: None,
    });
    fs::write(&settings, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_chestnutyoke"))
        .arg("front")
        .env("CHESTNUTYOKE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

/// Guards against a VM that runs out of memory, or refuses requests to others, while many answers grow, each
/// below the bound of its connection.
#[rstest]
#[case::body(0x61, "/plain/x", Endless::Body, 4_096)]
#[case::stated_body(0x62, "/plain/x", Endless::StatedBody, 4_096)]
#[case::failure(0x63, "/events/x", Endless::Failure, 4_096)]
#[case::refusal(0x64, "/plain/x", Endless::Refusal, 16_384)]
#[case::head(0x65, "/plain/x", Endless::Header, 480)]
#[case::event(0x66, "/events/x", Endless::Event, 2_000)]
#[case::events(0x68, "/events/x", Endless::Texts, 4_096)]
#[case::kept_output(0x67, "/turns/x", Endless::Texts, 4_096)]
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_grow_fit_the_vm(
    #[case] net: u8,
    #[case] path: &str,
    #[case] endless: Endless,
    #[case] step: usize,
) {
    let deployment = Deployment::start(net, endless, Pace::Steps(step)).await;
    let (before, most) = deployment.play(path).await;
    let asked = deployment
        .faulty
        .iter()
        .map(|runner| runner.requests().len());
    let asked: usize = asked.sum();
    println!("{endless:?}: {asked} at the runners, {before} bytes before, {most} at most");
    assert!(asked >= CALLS / 2, "{asked}");
    assert!(most < MEMORY, "{most} bytes of memory");
}

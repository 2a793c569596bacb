//! Tests what is logged about unreachable runners.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use adapter::runner::Entry;
use adapter::runner::State;
use adapter::settings;
use log::Level;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;
use relay::node::Node;
use relay::reachability;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::event::Event;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A logger that sends lines to a channel.
struct LineSender(mpsc::Sender<String>);

impl Log for LineSender {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            self.0.send(record.args().to_string()).ok();
        }
    }

    fn flush(&self) {}
}

/// A runner at whose address nothing answers, because the queue of its listener is full.
struct SilentRunner {
    listener: TcpListener,
    _queued: Vec<TcpStream>,
}

async fn silent_runner() -> SilentRunner {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    let connect = || timeout(Duration::from_millis(100), TcpStream::connect(address));
    while let Ok(connected) = connect().await {
        queued.push(connected.expect("the connection is queued"));
    }
    SilentRunner {
        listener,
        _queued: queued,
    }
}

fn entry(address: SocketAddr) -> Entry {
    Entry {
        service: "models".to_owned(),
        address,
        centre: "b".to_owned(),
        slots: 16,
        state: State::Ready,
        cold: Millis::ZERO,
        build: "v1".to_owned(),
        born: Some(1),
    }
}

/// A data centre is cut off: nothing answers at the runner to which a connection broke, nor at the
/// one beside it, so both get no requests. When the partition heals, both are reached again. An
/// operator who reads that the second runner can be reached again looks for the line that tells
/// since when it couldn't, so each runner must have its own line.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_runner_logged_as_reachable_again_was_logged_as_unreachable() {
    let (sender, lines) = mpsc::channel();
    log::set_boxed_logger(Box::new(LineSender(sender))).expect("no other logger is set");
    log::set_max_level(LevelFilter::Info);
    let runners = [silent_runner().await, silent_runner().await];
    let addresses = runners
        .iter()
        .map(|runner| runner.listener.local_addr().expect("an address"));
    let addresses: Vec<SocketAddr> = addresses.collect();
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("valid settings"),
        Clock::System,
    );
    for (number, address) in addresses.iter().enumerate() {
        let id = format!("i-{number}");
        node.fleet().set(&id, entry(*address), 0);
    }
    reachability::note_broken(&node, "i-0", addresses[0]);
    wait_until(|| node.fleet().unreachable().len() == 2).await;
    for runner in runners {
        tokio::spawn(async move {
            let mut accepted = Vec::new();
            while let Ok((stream, _)) = runner.listener.accept().await {
                accepted.push(stream);
            }
        });
    }
    wait_until(|| {
        reachability::retry(&node);
        node.fleet().unreachable().is_empty()
    })
    .await;

    let logged = tokio::task::spawn_blocking(move || lines_until_reachable(&lines, 2));
    let logged = logged.await.expect("no panic");
    let is_event =
        |event: Event, line: &&String| line.contains(&format!("event=E{} ", event.number()));
    for id in ["i-0", "i-1"] {
        let of_runner = logged
            .iter()
            .filter(|line| line.contains(&format!("runner={id} ")));
        let of_runner: Vec<&String> = of_runner.collect();
        let count = |event| {
            of_runner
                .iter()
                .filter(|line| is_event(event, line))
                .count()
        };
        assert_eq!(count(Event::EndpointReachable), 1, "{id}: {logged:#?}");
        assert_eq!(count(Event::EndpointUnreachable), 1, "{id}: {logged:#?}");
    }
}

async fn wait_until(holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out");
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the lines up to the one in which the last of `runners` runners can be reached again.
fn lines_until_reachable(lines: &mpsc::Receiver<String>, runners: usize) -> Vec<String> {
    let reachable = format!("event=E{} ", Event::EndpointReachable.number());
    let mut logged: Vec<String> = Vec::new();
    while logged
        .iter()
        .filter(|line| line.contains(&reachable))
        .count()
        < runners
    {
        logged.push(lines.recv_timeout(TIMEOUT).expect("another line"));
    }
    logged
}

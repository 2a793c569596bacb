//! What the log tells of runners that can't be reached.

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

const PATIENCE: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

/// Passes lines on.
struct Lines(mpsc::Sender<String>);

impl Log for Lines {
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

/// A runner's address at which nothing answers: the queue of its listener is full.
struct Silent {
    listener: TcpListener,
    _queued: Vec<TcpStream>,
}

async fn silent() -> Silent {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    let connect = || timeout(Duration::from_millis(100), TcpStream::connect(address));
    while let Ok(connected) = connect().await {
        queued.push(connected.expect("it is queued"));
    }
    Silent {
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
        born: Some(1),
    }
}

/// A data centre is cut off: the runner to which a connection broke and the one beside it are silent.
/// Both get nothing from then on. When the cut is over, both are reached again. The reader of the
/// log who meets "can be reached again" of the second runner looks for the line that says since when
/// it couldn't, and must find one of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_runner_that_is_reached_again_was_named_before() {
    let (sender, lines) = mpsc::channel();
    log::set_boxed_logger(Box::new(Lines(sender))).expect("it is the only logger");
    log::set_max_level(LevelFilter::Info);
    let runners = [silent().await, silent().await];
    let addresses = runners
        .iter()
        .map(|runner| runner.listener.local_addr().expect("an address"));
    let addresses: Vec<SocketAddr> = addresses.collect();
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("it is sound"),
        Clock::System,
    );
    for (at, address) in addresses.iter().enumerate() {
        let id = format!("i-{at}");
        node.fleet().set(&id, entry(*address), 0);
    }
    reachability::note_broken(&node, "i-0", addresses[0]);
    until(|| node.fleet().unreachable().len() == 2).await;
    for runner in runners {
        tokio::spawn(async move {
            let mut accepted = Vec::new();
            while let Ok((stream, _)) = runner.listener.accept().await {
                accepted.push(stream);
            }
        });
    }
    until(|| {
        reachability::retry(&node);
        node.fleet().unreachable().is_empty()
    })
    .await;

    let told = tokio::task::spawn_blocking(move || until_reachable(&lines, 2));
    let told = told.await.expect("no panic");
    let names =
        |event: Event, line: &&String| line.contains(&format!("event=E{} ", event.number()));
    for id in ["i-0", "i-1"] {
        let of_runner = told
            .iter()
            .filter(|line| line.contains(&format!("runner={id} ")));
        let of_runner: Vec<&String> = of_runner.collect();
        let count = |event| of_runner.iter().filter(|line| names(event, line)).count();
        assert_eq!(count(Event::EndpointReachable), 1, "{id}: {told:#?}");
        assert_eq!(count(Event::EndpointUnreachable), 1, "{id}: {told:#?}");
    }
}

async fn until(holds: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "in vain");
        sleep(LOOK).await;
    }
}

/// Yields the lines up to the one that tells of so many runners that they can be reached again.
fn until_reachable(lines: &mpsc::Receiver<String>, runners: usize) -> Vec<String> {
    let reachable = format!("event=E{} ", Event::EndpointReachable.number());
    let mut told: Vec<String> = Vec::new();
    while told.iter().filter(|line| line.contains(&reachable)).count() < runners {
        told.push(lines.recv_timeout(PATIENCE).expect("another line"));
    }
    told
}

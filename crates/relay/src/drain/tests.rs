use adapter::settings;
use adapter::settings::Settings;
use link::body::Body;
use link::listen;
use tokio::net::TcpStream;
use wire::clock::Clock;
use wire::clock::Millis;

use super::*;

/// A stopping process that consists only of its listener for callers.
struct Stopping {
    node: Arc<Node>,
    connections: Arc<Connections>,
    drained: JoinHandle<()>,
    address: std::net::SocketAddr,
}

async fn stopping(grace: Millis) -> Stopping {
    let settings = settings::parse(&fakes::settings::alone()).unwrap();
    let node = Node::new(Settings { grace, ..settings }, Clock::System);
    let connections = Arc::new(Connections::default());
    let listener = listen::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = |_request| std::future::ready(hyper::Response::new(Body::whole("")));
    let listening = tokio::spawn(listen::run(listener, connections.clone(), handler));
    let (stopping_node, stopping_connections) = (node.clone(), connections.clone());
    let drained =
        tokio::spawn(async move { run(&stopping_node, &stopping_connections, listening).await });
    Stopping {
        node,
        connections,
        drained,
        address,
    }
}

/// A request is in progress until the last moment. If the listener stayed open until the process
/// ends, connections still waiting to be accepted would then be accepted and reset unread, and
/// their callers wouldn't know whether their requests ran. So the listener closes while there is
/// time to answer, and the process doesn't end any sooner for it.
#[tokio::test]
async fn listener_closes_while_there_is_time_to_answer() {
    let process = stopping(Millis::new(2_000)).await;
    let _busy = process.node.work.begin(work::Kind::Answer, "q-1");
    process.connections.closed.cancelled().await;
    let closed_at = process.node.clock.now();
    process.drained.await.unwrap();
    let stop = process.node.stop().unwrap();
    assert!(
        closed_at >= stop.deadline() && closed_at < stop.exit_at(),
        "{closed_at} of {stop:?}"
    );
    assert!(process.node.clock.now() >= stop.exit_at());
}

/// The balancer has noticed the stop and no request is in progress, but callers keep connecting
/// without sending anything. If each open connection were waited for, the listener would stay open
/// until the last moment and the next process would begin to serve seconds later.
#[tokio::test]
async fn idle_connections_do_not_keep_the_listener_open() {
    let process = stopping(Millis::new(6_000)).await;
    let address = process.address;
    let callers = tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok(connection) = TcpStream::connect(address).await {
            connections.push(connection);
            sleep(Duration::from_millis(100)).await;
        }
        connections
    });
    process.drained.await.unwrap();
    let stop = process.node.stop().unwrap();
    let took = process.node.clock.now().since(stop.begun());
    assert!(took < Millis::new(4_500), "{took}");
    assert!(callers.await.unwrap().len() > 10);
}

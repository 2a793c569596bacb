//! A TCP proxy between two processes, which can cut the connections between them.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A TCP proxy in front of an address. It stops when dropped.
pub struct Proxy {
    address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy that forwards all connections to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = Arc::new(watch::Sender::new(true));
        let task = tokio::spawn(accept(listener, target, open.clone()));
        Self {
            address,
            open,
            task,
        }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks every connection and forwards nothing until [`Proxy::restore`]. New connections are
    /// accepted but get no answer, as in a network that drops packets.
    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    /// Forwards new connections again.
    pub fn restore(&self) {
        self.open.send_replace(true);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, open: Arc<watch::Sender<bool>>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        connections.spawn(forward(stream, target, open.subscribe()));
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, mut open: watch::Receiver<bool>) {
    if open.wait_for(|open| *open).await.is_err() {
        return;
    }
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let _unsupported = client.set_nodelay(true);
    let _unsupported = server.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
        _ = open.wait_for(|open| !*open) => {}
    }
}

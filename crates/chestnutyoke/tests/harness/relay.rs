//! A relay between two processes, which can cut the connection between them.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A relay in front of an address. It ends when dropped.
pub struct Relay {
    address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay that lets everything through to `target`.
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

    /// Yields the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks every connection and lets no byte through until [`Relay::mend`]: who connects
    /// meanwhile hears nothing, as with a network that drops packets.
    pub fn cut(&self) {
        self.open.send_replace(false);
    }

    /// Lets new connections through again.
    pub fn mend(&self) {
        self.open.send_replace(true);
    }
}

impl Drop for Relay {
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
        connections.spawn(pass(stream, target, open.subscribe()));
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut open: watch::Receiver<bool>) {
    if open.wait_for(|open| *open).await.is_err() {
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let _unsupported = near.set_nodelay(true);
    let _unsupported = far.set_nodelay(true);
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
        _ = open.wait_for(|open| !*open) => {}
    }
}

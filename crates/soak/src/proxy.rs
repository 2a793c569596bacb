//! A loopback proxy in front of a VM, the platform's store or a runner, which delays, resets, cuts
//! or silences connections.
//!
//! The kernel acknowledges bytes that the proxy holds back. So TCP's own time-out, which would occur
//! on a real link that is cut, never occurs here.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use wire::clock::Millis;

/// The most bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// After this much silence the product's TCP keep-alive would end a connection. The proxy has to
/// reset silenced connections itself, because the kernel answers keep-alive probes on its behalf.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(3_200);
/// The pause before a failed bind to an address is tried again.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The direction in which bytes flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// From the process that opened the connection.
    Out,
    /// Back to that process.
    Back,
}

/// How a link forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards them as they come.
    Open,
    /// Delays each chunk by this time.
    Slow(Millis),
    /// Holds all bytes until the link is open again.
    Cut,
    /// Holds bytes in this direction until the link is open again.
    CutOneWay(Direction),
    /// Refuses new connections and resets open ones.
    Down,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    /// How often the open connections were reset.
    resets: u64,
    /// How often the open connections were silenced for good.
    silences: u64,
}

/// A link through a proxy.
#[derive(Debug)]
pub struct Link {
    /// The address at which processes connect.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl Link {
    /// Starts a link to `target`.
    #[must_use]
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let link = Self::new(address);
        tokio::spawn(serve(address, target, link.state.subscribe()));
        link
    }

    fn new(address: SocketAddr) -> Self {
        let (state, _states) = watch::channel(State {
            mode: Mode::Open,
            resets: 0,
            silences: 0,
        });
        Self { address, state }
    }

    /// Sets how bytes are forwarded.
    pub fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Resets the open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Stops forwarding on the open connections for good, and resets them once the product's TCP
    /// keep-alive would have noticed. New connections work.
    pub fn silence(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }
}

/// The links from several sources to one target, which share one listening address.
#[derive(Debug)]
pub struct Group {
    /// The link of each source.
    pub links: Vec<Link>,
}

impl Group {
    /// Starts links from `count` sources to `target`. `source` returns the index of the source that
    /// opened a connection, from the addresses of both ends; it may block.
    #[must_use]
    pub fn start<S>(address: SocketAddr, target: SocketAddr, count: usize, source: S) -> Self
    where
        S: Fn(SocketAddr, SocketAddr) -> Option<usize> + Clone + Send + 'static,
    {
        let links: Vec<Link> = (0..count).map(|_| Link::new(address)).collect();
        let states = links.iter().map(|link| link.state.subscribe()).collect();
        tokio::spawn(serve_group(address, target, states, source));
        Self { links }
    }
}

async fn serve_group<S>(
    address: SocketAddr,
    target: SocketAddr,
    states: Vec<watch::Receiver<State>>,
    source: S,
) where
    S: Fn(SocketAddr, SocketAddr) -> Option<usize> + Clone + Send + 'static,
{
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => sleep(BIND_RETRY_PAUSE).await,
        }
    };
    while let Ok((stream, from)) = listener.accept().await {
        let (source, states) = (source.clone(), states.clone());
        tokio::spawn(async move {
            // Connects to the target before it searches for the opener: VMs try a stopped VM dozens
            // of times a second, and a search for each try left too little CPU for the runners and
            // clients of the run.
            let Some(server) = connect(&stream, target).await else {
                return;
            };
            let found = spawn_blocking(move || source(from, address)).await;
            // If the opener is gone already, the connection is closed.
            if let Ok(Some(at)) = found {
                forward(stream, server, states[at].clone()).await;
            }
        });
    }
}

async fn serve(address: SocketAddr, target: SocketAddr, mut states: watch::Receiver<State>) {
    loop {
        if states
            .wait_for(|state| state.mode != Mode::Down)
            .await
            .is_err()
        {
            return;
        }
        let Ok(listener) = TcpListener::bind(address).await else {
            sleep(BIND_RETRY_PAUSE).await;
            continue;
        };
        let mut down = states.clone();
        tokio::select! {
            () = accept(&listener, target, &states) => {}
            gone = down.wait_for(|state| state.mode == Mode::Down) => {
                if gone.is_err() {
                    return;
                }
            }
        }
    }
}

async fn accept(listener: &TcpListener, target: SocketAddr, states: &watch::Receiver<State>) {
    while let Ok((stream, _from)) = listener.accept().await {
        let states = states.clone();
        tokio::spawn(async move {
            if let Some(server) = connect(&stream, target).await {
                forward(stream, server, states).await;
            }
        });
    }
}

/// Connects to the target; resets the client's connection if nothing listens there.
async fn connect(client: &TcpStream, target: SocketAddr) -> Option<TcpStream> {
    let server = TcpStream::connect(target).await.ok();
    if server.is_none() {
        abort(client);
    }
    server
}

async fn forward(mut client: TcpStream, mut server: TcpStream, mut states: watch::Receiver<State>) {
    let initial = *states.borrow();
    // Without `TCP_NODELAY` small packets wait for others, a delay that no fault has asked for.
    let prepared = client
        .set_nodelay(true)
        .and_then(|()| server.set_nodelay(true));
    let (out_states, back_states) = (states.clone(), states.clone());
    let forwarded = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        tokio::select! {
            forwarded = async {
                tokio::try_join!(
                    pump(from_client, to_server, Direction::Out, initial, out_states),
                    pump(from_server, to_client, Direction::Back, initial, back_states),
                )
            } => forwarded.map(|_| ()),
            _reset = reset_signal(&mut states, initial) => Err(io::ErrorKind::ConnectionReset.into()),
        }
    };
    if prepared.and(forwarded).is_err() {
        abort(&client);
        abort(&server);
    }
}

async fn reset_signal(states: &mut watch::Receiver<State>, initial: State) {
    let is_reset = |state: &State| state.resets > initial.resets || state.mode == Mode::Down;
    let is_over = |state: &State| is_reset(state) || state.silences > initial.silences;
    // A dropped link also resets its connections.
    if matches!(states.wait_for(is_over).await, Ok(state) if !is_reset(&state)) {
        // Returns at the keep-alive time-out or at a reset, whichever comes first.
        let _reset = tokio::time::timeout(KEEP_ALIVE_TIMEOUT, states.wait_for(is_reset)).await;
    }
}

/// Has the connection close with a reset.
fn abort(stream: &TcpStream) {
    // Fails only if the connection is gone already.
    let _set = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    initial: State,
    mut states: watch::Receiver<State>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        wait_until_open(&mut states, direction, initial).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Waits until the link lets bytes pass, and delays them if it is slow.
async fn wait_until_open(
    states: &mut watch::Receiver<State>,
    direction: Direction,
    initial: State,
) -> io::Result<()> {
    let is_open = |state: &State| {
        let held = match state.mode {
            Mode::Cut | Mode::Down => true,
            Mode::CutOneWay(cut) => cut == direction,
            Mode::Open | Mode::Slow(_) => false,
        };
        !held && state.silences == initial.silences
    };
    let gone = || io::Error::from(io::ErrorKind::ConnectionReset);
    let mode = states.wait_for(is_open).await.map_err(|_| gone())?.mode;
    if let Mode::Slow(span) = mode {
        sleep(span.as_duration()).await;
    }
    Ok(())
}

#[cfg(test)]
mod tests;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wire::clock::Millis;

use super::Direction;
use super::Group;
use super::Link;
use super::Mode;

/// Longer than a loopback connection takes even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(5);
/// After this long without any byte the bytes count as held back.
const HOLD_TIME: Duration = Duration::from_millis(150);
/// The port of all links, outside the kernel's range for sockets that name none.
const LINK_PORT: u16 = 7_000;

/// Returns an address of this test run on which no other socket can listen or connect from. On a
/// port of the kernel's choice, another test's server could answer before the link listens.
fn link_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let [_, _, high, low] = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, count, high, low);
    SocketAddr::new(IpAddr::V4(ip), LINK_PORT)
}

/// Starts an echo server and a link to it; returns the link and a connection through it.
async fn echo_through_link() -> (Link, TcpStream) {
    let echo = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = echo.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = echo.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    let address = link_address();
    let link = Link::start(address, target);
    let stream = connect(address).await;
    (link, stream)
}

async fn connect(address: SocketAddr) -> TcpStream {
    let connected = async {
        loop {
            if let Ok(stream) = TcpStream::connect(address).await {
                return stream;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, connected).await.unwrap()
}

async fn echo_byte(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    stream.read_u8().await
}

#[tokio::test]
async fn an_open_link_passes_bytes() {
    let (_link, mut stream) = echo_through_link().await;
    let byte = timeout(TIMEOUT, echo_byte(&mut stream)).await.unwrap();
    assert_eq!(byte.unwrap(), b'x');
}

#[tokio::test]
async fn a_slow_link_passes_bytes_later() {
    let (link, mut stream) = echo_through_link().await;
    link.set_mode(Mode::Slow(Millis::new(100)));
    let started = std::time::Instant::now();
    let byte = timeout(TIMEOUT, echo_byte(&mut stream)).await.unwrap();
    assert_eq!(byte.unwrap(), b'x');
    assert!(started.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn a_cut_link_holds_bytes_until_it_is_open_again() {
    for cut in [
        Mode::Cut,
        Mode::CutOneWay(Direction::Out),
        Mode::CutOneWay(Direction::Back),
    ] {
        let (link, mut stream) = echo_through_link().await;
        link.set_mode(cut);
        stream.write_all(b"x").await.unwrap();
        assert!(
            timeout(HOLD_TIME, stream.read_u8()).await.is_err(),
            "{cut:?}"
        );
        link.set_mode(Mode::Open);
        let byte = timeout(TIMEOUT, stream.read_u8()).await.unwrap();
        assert_eq!(byte.unwrap(), b'x', "{cut:?}");
    }
}

/// Connections go silent without a reset, as if a middlebox had dropped their flows. They stay
/// silent; new ones work.
#[tokio::test]
async fn a_silenced_connection_stays_silent() {
    let (link, mut stream) = echo_through_link().await;
    timeout(TIMEOUT, echo_byte(&mut stream))
        .await
        .unwrap()
        .unwrap();
    link.silence();
    assert!(timeout(HOLD_TIME, echo_byte(&mut stream)).await.is_err());
    let mut new = connect(link.address).await;
    let byte = timeout(TIMEOUT, echo_byte(&mut new)).await.unwrap();
    assert_eq!(byte.unwrap(), b'x');
}

#[tokio::test]
async fn a_link_that_is_down_resets_and_refuses() {
    let (link, mut stream) = echo_through_link().await;
    timeout(TIMEOUT, echo_byte(&mut stream))
        .await
        .unwrap()
        .unwrap();
    link.set_mode(Mode::Down);
    let ended = timeout(TIMEOUT, stream.read_u8()).await.unwrap();
    assert!(ended.is_err());
    let refused = async {
        while TcpStream::connect(link.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, refused).await.unwrap();
    link.set_mode(Mode::Open);
    let mut new = connect(link.address).await;
    let byte = timeout(TIMEOUT, echo_byte(&mut new)).await.unwrap();
    assert_eq!(byte.unwrap(), b'x');
}

/// The link from one VM to another is cut, while a third VM still reaches the target.
#[tokio::test]
async fn links_of_a_group_are_cut_independently() {
    let (echo, _stream) = echo_through_link().await;
    let address = link_address();
    // Sources are numbered in the order in which they connect.
    let count = Arc::new(AtomicUsize::new(0));
    let source = move |_from, _to| Some(count.fetch_add(1, Ordering::SeqCst));
    let group = Group::start(address, echo.address, 2, source);
    let mut first = connect(address).await;
    timeout(TIMEOUT, echo_byte(&mut first))
        .await
        .unwrap()
        .unwrap();
    let mut second = connect(address).await;
    timeout(TIMEOUT, echo_byte(&mut second))
        .await
        .unwrap()
        .unwrap();
    group.links[0].set_mode(Mode::Cut);
    assert!(timeout(HOLD_TIME, echo_byte(&mut first)).await.is_err());
    let byte = timeout(TIMEOUT, echo_byte(&mut second)).await.unwrap();
    assert_eq!(byte.unwrap(), b'x');
}

//! Free ports for listeners that other processes must know beforehand.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Below the range from which the system draws ports for connections and for port 0, so that a
/// port found free isn't taken before its process listens.
const FIRST: u16 = 10_000;
/// How many ports there are.
const COUNT: u16 = 20_000;
/// How far apart two test processes begin to search.
const STRIDE: u32 = 193;

/// Finds a port that nobody listens on and that this process hasn't found before.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = std::process::id().wrapping_mul(STRIDE);
    for _ in 0..COUNT {
        let step = u32::from(NEXT.fetch_add(1, Ordering::SeqCst));
        let offset = start.wrapping_add(step) % u32::from(COUNT);
        let port = FIRST + u16::try_from(offset).unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}

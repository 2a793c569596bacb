//! Addresses for listeners that other processes must know beforehand.
//!
//! A port that is found free and given to a process that starts later may be taken meanwhile, by
//! another test or as the source port of a connection. So each test process has a loopback
//! address of its own, made from its process id, and hands each port out once, below the range
//! from which the system draws source ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// The first port; below it a process needs rights that tests don't have.
const FIRST: u16 = 10_000;
/// The bit of the second byte that keeps the address apart from 127.0.0.1.
const OWN: u8 = 0x40;

/// Yields an address that nothing else on the machine uses.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, OWN | high, middle, low);
    SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::SeqCst)))
}

//! Addresses for listeners that other processes must know in advance.
//!
//! A port that was free when it was checked may be taken before the process that needs it starts,
//! by another test or as the source port of a connection. So each test process has its own loopback
//! address, derived from its process id, and uses each port only once. The ports are below the
//! range from which the system assigns source ports.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// The first port; privileged ports, which tests may not use, are below it.
const FIRST: u16 = 10_000;
/// A bit that is set in the second byte of the address, so that it differs from 127.0.0.1.
const ADDRESS_BIT: u8 = 0x40;

/// Returns an address that nothing else on the machine uses.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, ADDRESS_BIT | high, middle, low);
    SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::SeqCst)))
}

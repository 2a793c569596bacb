//! Finds which VM has opened a connection: the kernel reports the inode of its socket, and `/proc`
//! shows which process holds that socket.
//!
//! VMs don't connect from addresses of their own, so a proxy between them can't distinguish them by
//! address. The kernel is asked for the single socket over netlink, because reading its table of
//! all sockets takes tens of milliseconds on a busy machine, and a VM gives up its message in that
//! time.

use std::collections::HashMap;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Mutex;
use std::sync::PoisonError;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

// Constants of the kernel, under its own names: the address family of netlink sockets, and the
// netlink protocol that reports on sockets.
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
// The type and the flag of the request, and the type of an error answer.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const NLMSG_ERROR: u16 = 2;
// IPv4 and TCP.
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// The length of a request, including its header.
const REQUEST_BYTES: u32 = 72;
/// The offset of the message type in an answer.
const TYPE_OFFSET: usize = 4;
/// The offset of the socket's inode in an answer.
const INODE_OFFSET: usize = 84;

/// Caches which process holds which socket.
///
/// A scan covers all processes, and only one thread scans at a time, for a socket that isn't
/// cached. With a scan for each of hundreds of new connections a second, the scans took the CPU
/// from the VMs, which then gave up their messages and opened even more connections.
#[derive(Debug, Default)]
pub struct Openers(Mutex<HashMap<String, usize>>);

impl Openers {
    /// Returns the index of the process in `pids` that has opened the connection between two
    /// addresses.
    ///
    /// # Errors
    ///
    /// Fails if the kernel can't be asked.
    pub fn find(
        &self,
        pids: impl FnOnce() -> Vec<Option<u32>>,
        from: SocketAddr,
        to: SocketAddr,
    ) -> io::Result<Option<usize>> {
        let (SocketAddr::V4(from), SocketAddr::V4(to)) = (from, to) else {
            return Ok(None);
        };
        let Some(inode) = socket_inode(from, to)? else {
            return Ok(None);
        };
        let socket = format!("socket:[{inode}]");
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains_key(&socket) {
            *known = scan(&pids());
        }
        Ok(known.get(&socket).copied())
    }
}

/// Scans which sockets these processes hold. A process that has ended holds none.
fn scan(pids: &[Option<u32>]) -> HashMap<String, usize> {
    let mut found = HashMap::new();
    for (index, id) in pids.iter().enumerate() {
        let Some(id) = id else {
            continue;
        };
        let Ok(files) = fs::read_dir(format!("/proc/{id}/fd")) else {
            continue;
        };
        let targets = files.flatten().map(|file| fs::read_link(file.path()));
        for target in targets.flatten() {
            found.insert(target.to_string_lossy().into_owned(), index);
        }
    }
    found
}

/// Asks the kernel for the inode of the socket with these ends; `None` if it is closed or gone.
fn socket_inode(local: SocketAddrV4, remote: SocketAddrV4) -> io::Result<Option<u32>> {
    let protocol = Some(Protocol::from(NETLINK_SOCK_DIAG));
    let mut kernel = Socket::new(Domain::from(AF_NETLINK), Type::DGRAM, protocol)?;
    kernel.write_all(&request(local, remote))?;
    let mut answer = [0; 1024];
    let length = kernel.read(&mut answer)?;
    let kind = u16::from_ne_bytes([answer[TYPE_OFFSET], answer[TYPE_OFFSET + 1]]);
    if kind == NLMSG_ERROR || length < INODE_OFFSET + 4 {
        return Ok(None);
    }
    let bytes = [0, 1, 2, 3].map(|index| answer[INODE_OFFSET + index]);
    let inode = u32::from_ne_bytes(bytes);
    // A socket that is closed but not yet gone has no inode, and no process holds it. A scan for it
    // would find nothing, and openers that give up during the scan would make the next ones wait
    // ever longer.
    Ok(Some(inode).filter(|inode| *inode != 0))
}

fn request(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend(REQUEST_BYTES.to_ne_bytes());
    bytes.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    bytes.extend(NLM_F_REQUEST.to_ne_bytes());
    // The sequence number and the port id of the sender, both unused.
    bytes.extend([0; 8]);
    bytes.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // Sockets in any state.
    bytes.extend([0xff; 4]);
    bytes.extend(local.port().to_be_bytes());
    bytes.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        bytes.extend(address.ip().octets());
        // The part of the field that only IPv6 addresses use.
        bytes.extend([0; 12]);
    }
    // Any interface, and no socket cookie.
    bytes.extend([0; 4]);
    bytes.extend([0xff; 8]);
    bytes
}

#[cfg(test)]
mod tests;

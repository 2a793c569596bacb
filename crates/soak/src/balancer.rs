//! Chooses the VM for each new connection as the platform's balancer does.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use fakes::caller;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How often VMs are asked whether they are ready, and the time-out of each such probe.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// After this many failed probes in a row a VM gets no new connections.
const MISS_THRESHOLD: u32 = 2;

/// A VM as the balancer sees it.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its data centre.
    pub centre: usize,
    /// Where clients connect.
    pub callers: SocketAddr,
    /// Where it reports whether it is ready.
    pub ready: SocketAddr,
    /// How many probes in a row were not answered with status 200.
    pub misses: u32,
}

/// The balancer.
#[derive(Debug, Default)]
pub struct Balancer(Mutex<Vec<Row>>);

impl Balancer {
    /// Creates a balancer of these VMs, none of which has been probed yet.
    #[must_use]
    pub fn new(rows: Vec<Row>) -> Self {
        Self(Mutex::new(rows))
    }

    /// Returns the state of all VMs.
    #[must_use]
    pub fn rows(&self) -> Vec<Row> {
        let rows = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        rows.clone()
    }

    /// Returns the address at which clients connect to a VM.
    #[must_use]
    pub fn callers(&self, vm: usize) -> SocketAddr {
        let rows = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        rows[vm].callers
    }

    /// Probes all VMs once.
    pub async fn probe(&self) {
        let mut probes = JoinSet::new();
        for (index, row) in self.rows().into_iter().enumerate() {
            probes.spawn(async move {
                let status = timeout(PROBE_INTERVAL, caller::status(row.ready, "/-/readyz")).await;
                (index, status == Ok(Some(200)))
            });
        }
        while let Some(Ok((index, is_ready))) = probes.join_next().await {
            let mut rows = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let row = &mut rows[index];
            row.misses = if is_ready { 0 } else { row.misses + 1 };
        }
    }

    /// Chooses a VM for a new connection of a client in this data centre.
    #[must_use]
    pub fn choose(&self, centre: usize, hash: usize) -> usize {
        choose(&self.rows(), centre, hash)
    }
}

/// Chooses among the VMs of the data centre that are in rotation. If fewer than half of its VMs
/// are, it chooses among all of them; if none is, among those in rotation in other data centres.
#[must_use]
pub fn choose(rows: &[Row], centre: usize, hash: usize) -> usize {
    let all: Vec<usize> = (0..rows.len()).collect();
    let local: Vec<usize> = filter(&all, |index| rows[index].centre == centre);
    let in_rotation = filter(&local, |index| rows[index].misses < MISS_THRESHOLD);
    if in_rotation.len() * 2 >= local.len() && !in_rotation.is_empty() {
        return in_rotation[hash % in_rotation.len()];
    }
    if !in_rotation.is_empty() {
        return local[hash % local.len()];
    }
    let remote = filter(&all, |index| rows[index].misses < MISS_THRESHOLD);
    let usable = if remote.is_empty() { all } else { remote };
    usable[hash % usable.len()]
}

fn filter(rows: &[usize], wanted: impl Fn(usize) -> bool) -> Vec<usize> {
    rows.iter()
        .copied()
        .filter(|index| wanted(*index))
        .collect()
}

#[cfg(test)]
mod tests;

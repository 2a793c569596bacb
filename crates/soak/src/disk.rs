//! Watches the disk that the processes under test write to.
//!
//! Other software shares the disk. If a sync takes most of a second, VMs with a disk don't answer
//! in time, although no fault of the schedule causes it. Such a stall is therefore recorded as a
//! disruption while it lasts.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::task::spawn_blocking;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Millis;

use crate::context::Context;

/// The pause between two syncs.
const SYNC_PAUSE: Duration = Duration::from_millis(50);
/// A sync that takes longer is a disruption: two in a row take most of the time that a VM with a
/// disk has for its answer.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// How much is written before each sync: about the size of the record of a turn.
const WRITE_BYTES: usize = 4_096;

/// The stalls of the disk during a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stalls {
    /// How many syncs were a disruption.
    pub count: u64,
    /// The duration of the longest sync.
    pub longest: Millis,
}

/// Writes to a file in `folder` and syncs it, repeatedly until `end`.
///
/// # Errors
///
/// Fails if the file can't be written.
pub async fn watch(context: Arc<Context>, folder: &Path, end: Instant) -> io::Result<Stalls> {
    let path = folder.join("disk-watch");
    let file = OpenOptions::new().create(true).append(true).open(path)?;
    let file = Arc::new(file);
    let mut stalls = Stalls::default();
    while Instant::now() < end {
        let started = Instant::now();
        let from = context.oracle().now();
        let synced = file.clone();
        let mut sync = spawn_blocking(move || write(&synced));
        let outcome = if let Ok(outcome) = timeout(STALL_THRESHOLD, &mut sync).await {
            outcome
        } else {
            stalls.count += 1;
            let disruption = context.oracle().history.begin_disruption(from);
            let outcome = sync.await;
            let mut oracle = context.oracle();
            let now = oracle.now();
            oracle.history.end_disruption(disruption, now);
            outcome
        };
        outcome.map_err(io::Error::other)??;
        stalls.longest = stalls.longest.max(Millis::from(started.elapsed()));
        sleep(SYNC_PAUSE).await;
    }
    Ok(stalls)
}

fn write(mut file: &File) -> io::Result<()> {
    file.write_all(&[0; WRITE_BYTES])?;
    file.sync_data()
}

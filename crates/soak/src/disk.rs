//! Watches the disk that the processes under test write to.
//!
//! Others share it. Where a sync takes most of a second, VMs with a disk answer nobody in time, which
//! no fault of the schedule has asked for: it is a disruption like a planned one, and has to be known
//! as such while it lasts.

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
/// From so long on a sync is a disruption: two in a row are most of the time that a VM with a disk
/// has for its answer.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// How much is written each time, about a record of a turn.
const WRITE_BYTES: usize = 4_096;

/// What the syncs showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Stalls {
    /// How many were a disruption.
    pub count: u64,
    /// The longest sync.
    pub longest: Millis,
}

/// Syncs a file in `folder` again and again until `until`.
///
/// # Errors
///
/// Fails where the file can't be written.
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

//! A member's disk: segments of frames, synced in groups, and a small file with the member's
//! identity.
//!
//! A dedicated thread writes: it takes all queued jobs, writes them, syncs once, and answers each.
//! A power loss tears at most what was not yet answered; checksums tell a torn end from a record.
//! Each start begins a new segment, so nothing is ever written after a torn end. It also syncs what it
//! finds: the process before it may have been killed between a write and its sync, and whoever repeats
//! that write is answered without another one.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wire::event;

use crate::index::Location;
use crate::list::List;
use crate::medium::File;
use crate::medium::Folder;
use crate::medium::Medium;
use crate::record;
use crate::record::Parsed;
use crate::record::Record;

/// The length in bytes at which a segment is closed. Only whole segments are removed when the disk
/// fills.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// Percentage of the disk that is used before the oldest segments are removed. The rest is room for
/// segments that are being written.
const FILL_PERCENT: u64 = 85;
/// Name of the identity file.
const IDENTITY_FILE: &str = "identity";
/// Name of the file in which the next identity is written before it takes the place of the last one.
const NEXT_IDENTITY_FILE: &str = "identity.next";

/// What a member stores beside the records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The disk's number.
    pub disk: u64,
    /// The list of members in use.
    pub list: List,
    /// The list version up to which the member holds everything that was acknowledged.
    pub ready: u64,
}

/// A record found when the folder was opened.
#[derive(Debug)]
pub struct Entry {
    /// The record that the frame contains.
    pub record: Record,
    /// Where its frame is stored.
    pub location: Location,
}

/// The disk of a running member.
#[derive(Debug)]
pub struct Disk {
    medium: Arc<dyn Medium>,
    jobs: mpsc::Sender<Job>,
    /// How many writes of the identity were queued.
    identity_writes: Mutex<u64>,
    identities: watch::Receiver<Identities>,
    used_bytes: Arc<AtomicU64>,
    limit_bytes: u64,
    /// Segments that are open for reading, sorted by number.
    files: Mutex<Vec<(u64, Arc<dyn File>)>>,
}

/// Receives the locations of an append's frames.
type Reply = oneshot::Sender<io::Result<Vec<Location>>>;
/// An append that was written and waits for the sync.
type PendingReply = (io::Result<Vec<Location>>, Reply);

enum Job {
    Append(Vec<Vec<u8>>, Reply),
    WriteIdentity(Box<Identity>, u64),
}

/// The last writes of the identity, by their numbers. A later one holds all that an earlier one does.
#[derive(Clone, Copy, Debug, Default)]
struct Identities {
    written: u64,
    failed: u64,
}

impl Identities {
    /// Returns the outcome of a write; `None` while it is queued.
    fn outcome(&self, number: u64) -> Option<io::Result<()>> {
        if self.written >= number {
            return Some(Ok(()));
        }
        let failed = || Err(io::Error::other("the identity wasn't written"));
        (self.failed >= number).then(failed)
    }
}

struct Writer {
    medium: Arc<dyn Medium>,
    /// Numbers and lengths of the closed segments, the oldest first.
    closed: Vec<(u64, u64)>,
    /// The open segment's number.
    number: u64,
    file: Arc<dyn File>,
    /// The open segment's length in bytes.
    length: u64,
    /// Whether the open segment ends with a torn frame, behind which no restart finds a record.
    is_torn: bool,
    /// The oldest segments are removed to keep all of them below this.
    limit_bytes: u64,
    /// The length of all segments.
    used_bytes: Arc<AtomicU64>,
    events: mpsc::Sender<SegmentEvent>,
    identities: watch::Sender<Identities>,
}

/// What the writer thread did to its segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentEvent {
    /// It created this segment.
    Created(u64),
    /// It removed this segment, the oldest, because the disk was filling.
    Removed(u64),
}

/// The result of opening a folder.
#[derive(Debug)]
pub struct Opened {
    /// The opened disk, for reading and writing records.
    pub disk: Disk,
    /// The member's identity; `None` if the folder holds no identity file yet.
    pub identity: Option<Identity>,
    /// Segments that the writer creates and removes.
    pub events: mpsc::Receiver<SegmentEvent>,
}

/// Opens a folder, passes each record to `on_record`, and starts the writer thread. `bytes` is the
/// size of the disk.
///
/// # Errors
///
/// Fails if the folder can't be read or written.
pub fn open(folder: &Path, bytes: u64, on_record: &mut dyn FnMut(Entry)) -> io::Result<Opened> {
    open_on(Folder::open(folder)?, bytes, on_record)
}

/// The same for the files of `medium`.
///
/// # Errors
///
/// Fails if the files can't be read or written.
pub fn open_on(
    medium: Arc<dyn Medium>,
    bytes: u64,
    on_record: &mut dyn FnMut(Entry),
) -> io::Result<Opened> {
    let identity = read_identity(&*medium)?;
    let numbers = segment_numbers(&*medium)?;
    let mut closed = Vec::new();
    for number in &numbers {
        let length = scan_segment(&*medium, *number, on_record)?;
        closed.push((*number, length));
    }
    let number = numbers.last().map_or(1, |last| last + 1);
    let file = create_segment(&*medium, number)?;
    let (jobs, queue) = mpsc::channel();
    let (sender, events) = mpsc::channel();
    let (written, identities) = watch::channel(Identities::default());
    let used = closed.iter().map(|(_, length)| length).sum();
    let used_bytes = Arc::new(AtomicU64::new(used));
    let limit_bytes = bytes / 100 * FILL_PERCENT;
    let mut writer = Writer {
        medium: medium.clone(),
        closed,
        number,
        file,
        length: 0,
        is_torn: false,
        limit_bytes,
        used_bytes: used_bytes.clone(),
        events: sender,
        identities: written,
    };
    thread::spawn(move || writer.run(&queue));
    let disk = Disk {
        medium,
        jobs,
        identity_writes: Mutex::default(),
        identities,
        used_bytes,
        limit_bytes,
        files: Mutex::default(),
    };
    Ok(Opened {
        disk,
        identity,
        events,
    })
}

/// Logs a failure of the disk.
pub fn log_failed(fault: &io::Error) {
    log::error!(
        "event=E{} text=\"{}\" fault=\"{fault}\"",
        event::Event::DiskFailed.number(),
        event::Event::DiskFailed.text()
    );
}

fn read_identity(medium: &dyn Medium) -> io::Result<Option<Identity>> {
    let bytes = match medium.read(IDENTITY_FILE) {
        Ok(bytes) => bytes,
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(fault) => return Err(fault),
    };
    let parsed = rmp_serde::from_slice(&bytes);
    Ok(Some(parsed.map_err(io::Error::other)?))
}

fn segment_numbers(medium: &dyn Medium) -> io::Result<Vec<u64>> {
    let names = medium.names()?;
    let numbers = names
        .iter()
        .filter_map(|name| name.strip_prefix("segment-"));
    let mut numbers: Vec<u64> = numbers.filter_map(|number| number.parse().ok()).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn segment_name(number: u64) -> String {
    format!("segment-{number:010}")
}

fn create_segment(medium: &dyn Medium, number: u64) -> io::Result<Arc<dyn File>> {
    let file = medium.create(&segment_name(number))?;
    // Without syncing the names, the whole file with its synced records may be gone after a power
    // loss.
    medium.sync_names()?;
    Ok(file)
}

/// Reads a segment up to its end or the first torn frame, syncs it, and returns the length read.
fn scan_segment(
    medium: &dyn Medium,
    number: u64,
    on_record: &mut dyn FnMut(Entry),
) -> io::Result<u64> {
    let file = medium.open(&segment_name(number))?;
    file.sync()?;
    let mut buffer: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 256 * 1024];
    let mut offset = 0;
    loop {
        let read = file.read_at(&mut chunk, offset + buffer.len() as u64)?;
        buffer.extend_from_slice(&chunk[..read]);
        let mut at = 0;
        loop {
            match record::parse_frame(&buffer[at..]) {
                Parsed::Record(record, length) => {
                    let location = Location {
                        segment: number,
                        offset: offset + at as u64,
                        length: u32::try_from(length).unwrap_or(u32::MAX),
                    };
                    on_record(Entry { record, location });
                    at += length;
                }
                Parsed::Incomplete => break,
                Parsed::Torn => return Ok(offset + at as u64),
            }
        }
        buffer.drain(..at);
        offset += at as u64;
        if read == 0 {
            return Ok(offset);
        }
    }
}

impl Disk {
    /// Writes and syncs frames, and returns their locations.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub async fn append(&self, frames: Vec<Vec<u8>>) -> io::Result<Vec<Location>> {
        let (reply, answer) = oneshot::channel();
        self.send_job(Job::Append(frames, reply))?;
        answer.await.map_err(io::Error::other)?
    }

    /// Writes and syncs the member's identity.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub async fn write_identity(&self, identity: &Identity) -> io::Result<()> {
        let number = self.queue_identity(identity)?;
        self.wait_for_identity(number).await
    }

    /// Queues a write of the member's identity before all that is written from now on, and returns its
    /// number. It is done whether somebody waits for it or not.
    ///
    /// # Errors
    ///
    /// Fails if the disk's thread has ended.
    pub fn queue_identity(&self, identity: &Identity) -> io::Result<u64> {
        let writes = self.identity_writes.lock();
        let mut writes = writes.unwrap_or_else(PoisonError::into_inner);
        *writes += 1;
        self.send_job(Job::WriteIdentity(Box::new(identity.clone()), *writes))?;
        Ok(*writes)
    }

    /// Returns whether a write of the identity has failed, and none after it was done.
    #[must_use]
    pub fn has_failed(&self, number: u64) -> bool {
        let outcome = self.identities.borrow().outcome(number);
        matches!(outcome, Some(Err(_)))
    }

    /// Waits until a write of the identity, or a later one, is synced.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub async fn wait_for_identity(&self, number: u64) -> io::Result<()> {
        let mut identities = self.identities.clone();
        loop {
            let outcome = identities.borrow_and_update().outcome(number);
            if let Some(outcome) = outcome {
                return outcome;
            }
            identities.changed().await.map_err(io::Error::other)?;
        }
    }

    /// Returns the bytes of all segments, and those from which on the oldest ones are removed.
    #[must_use]
    pub fn usage(&self) -> (u64, u64) {
        (self.used_bytes.load(Ordering::Relaxed), self.limit_bytes)
    }

    fn send_job(&self, job: Job) -> io::Result<()> {
        let sent = self.jobs.send(job);
        sent.map_err(|_| io::Error::other("the disk writer thread has ended"))
    }

    /// Reads the record at a location.
    ///
    /// # Errors
    ///
    /// Fails if the disk does, or with [`io::ErrorKind::InvalidData`] if no valid record is stored there.
    pub fn read(&self, location: Location) -> io::Result<Record> {
        let file = self.file(location.segment)?;
        let mut frame = vec![0; location.length as usize];
        let read = file.read_at(&mut frame, location.offset)?;
        frame.truncate(read);
        match record::parse_frame(&frame) {
            Parsed::Record(record, _) => Ok(record),
            Parsed::Incomplete | Parsed::Torn => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "no valid record at this location",
            )),
        }
    }

    fn file(&self, segment: u64) -> io::Result<Arc<dyn File>> {
        let mut files = self.files.lock().unwrap_or_else(PoisonError::into_inner);
        match files.binary_search_by_key(&segment, |(number, _)| *number) {
            Ok(at) => Ok(files[at].1.clone()),
            Err(at) => {
                let file = self.medium.open(&segment_name(segment))?;
                files.insert(at, (segment, file.clone()));
                Ok(file)
            }
        }
    }

    /// Closes the file of a removed segment.
    pub fn close_segment(&self, segment: u64) {
        let mut files = self.files.lock().unwrap_or_else(PoisonError::into_inner);
        files.retain(|(number, _)| *number != segment);
    }
}

impl Writer {
    fn run(&mut self, queue: &mpsc::Receiver<Job>) {
        while let Ok(first) = queue.recv() {
            let mut pending = Vec::new();
            let mut job = Some(first);
            while let Some(next) = job {
                match next {
                    Job::Append(frames, reply) => {
                        let written = self.write(&frames);
                        pending.push((written, reply));
                    }
                    Job::WriteIdentity(identity, number) => {
                        let written = self.write_identity(&identity);
                        self.identities.send_modify(|last| match &written {
                            Ok(()) => last.written = number,
                            Err(_) => last.failed = number,
                        });
                        if let Err(fault) = written {
                            log_failed(&fault);
                        }
                    }
                }
                job = queue.try_recv().ok();
            }
            self.sync_and_reply(pending);
        }
    }

    /// Syncs once for everything that was written, and answers each append.
    fn sync_and_reply(&mut self, pending: Vec<PendingReply>) {
        if pending.is_empty() {
            return;
        }
        let synced = self.file.sync();
        // What wasn't synced may be gone, and a later sync wouldn't tell.
        self.is_torn |= synced.is_err();
        for (written, reply) in pending {
            let outcome = match &synced {
                Ok(()) => written,
                Err(fault) => Err(io::Error::other(fault.to_string())),
            };
            // The receiver may be gone and needs no answer then.
            let _gone = reply.send(outcome);
        }
        if self.length < SEGMENT_BYTES && !self.is_torn {
            return;
        }
        if let Err(fault) = self.roll_segment() {
            log::error!("text=\"can't create a segment\" fault=\"{fault}\"");
        }
    }

    fn write(&mut self, frames: &[Vec<u8>]) -> io::Result<Vec<Location>> {
        if self.is_torn {
            return Err(io::Error::other("the open segment ends with a torn frame"));
        }
        let written = self.write_frames(frames);
        self.is_torn = written.is_err();
        written
    }

    fn write_frames(&mut self, frames: &[Vec<u8>]) -> io::Result<Vec<Location>> {
        let mut locations = Vec::with_capacity(frames.len());
        for frame in frames {
            self.file.append(frame)?;
            locations.push(Location {
                segment: self.number,
                offset: self.length,
                length: u32::try_from(frame.len()).unwrap_or(u32::MAX),
            });
            self.length += frame.len() as u64;
            self.used_bytes
                .fetch_add(frame.len() as u64, Ordering::Relaxed);
        }
        Ok(locations)
    }

    fn roll_segment(&mut self) -> io::Result<()> {
        if self.length == 0 {
            // Holds nothing but a torn frame. With another segment for each write that fails, a full disk
            // would fill with files.
            self.file = create_segment(&*self.medium, self.number)?;
            self.is_torn = false;
            return Ok(());
        }
        let next = self.number + 1;
        self.file = create_segment(&*self.medium, next)?;
        self.closed.push((self.number, self.length));
        self.number = next;
        self.length = 0;
        self.is_torn = false;
        self.emit(SegmentEvent::Created(next));
        let mut used: u64 = self.closed.iter().map(|(_, length)| length).sum();
        while used + SEGMENT_BYTES > self.limit_bytes && self.closed.len() > 1 {
            let (number, length) = self.closed.remove(0);
            self.medium.remove(&segment_name(number))?;
            used -= length;
            self.used_bytes.fetch_sub(length, Ordering::Relaxed);
            self.emit(SegmentEvent::Removed(number));
        }
        Ok(())
    }

    fn emit(&self, event: SegmentEvent) {
        // The receiver is gone only when the process is ending.
        let _ending = self.events.send(event);
    }

    fn write_identity(&self, identity: &Identity) -> io::Result<()> {
        let bytes = rmp_serde::to_vec(identity).map_err(io::Error::other)?;
        let file = self.medium.create(NEXT_IDENTITY_FILE)?;
        file.append(&bytes)?;
        file.sync()?;
        self.medium.rename(NEXT_IDENTITY_FILE, IDENTITY_FILE)?;
        self.medium.sync_names()
    }
}

#[cfg(test)]
mod tests;

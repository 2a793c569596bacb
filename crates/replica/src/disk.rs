//! A member's disk: segments of frames, synced in groups, and a small file with the member's
//! identity.
//!
//! A dedicated thread writes: it takes all queued jobs, writes them, syncs once, and answers each.
//! A power loss tears at most what was not yet answered; checksums tell a torn end from a record.
//! Each start begins a new segment, so nothing is ever written after a torn end.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use wire::event;

use crate::index::Location;
use crate::list::List;
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

/// What a member stores beside the records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The disk's number.
    pub disk: u64,
    /// The list in use.
    pub list: List,
    /// The list version up to which the member holds everything that was acknowledged.
    pub ready: u64,
}

/// A record found when the folder was opened.
#[derive(Debug)]
pub struct Entry {
    /// The record.
    pub record: Record,
    /// Where its frame is stored.
    pub location: Location,
}

/// The disk of a running member.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    jobs: mpsc::Sender<Job>,
    /// Segments that are open for reading, sorted by number.
    files: Mutex<Vec<(u64, Arc<File>)>>,
}

/// Receives the locations of an append's frames.
type Reply = oneshot::Sender<io::Result<Vec<Location>>>;
/// An append that was written and waits for the sync.
type PendingReply = (io::Result<Vec<Location>>, Reply);

enum Job {
    Append(Vec<Vec<u8>>, Reply),
    WriteIdentity(Box<Identity>, oneshot::Sender<io::Result<()>>),
}

struct Writer {
    folder: PathBuf,
    /// Numbers and lengths of the closed segments, the oldest first.
    closed: Vec<(u64, u64)>,
    /// The open segment's number.
    number: u64,
    file: File,
    /// The open segment's length in bytes.
    length: u64,
    /// The oldest segments are removed to keep all of them below this.
    limit_bytes: u64,
    events: mpsc::Sender<SegmentEvent>,
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
    /// The disk.
    pub disk: Disk,
    /// The member's identity; `None` if the folder was empty.
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
    fs::create_dir_all(folder)?;
    let identity = read_identity(folder)?;
    let numbers = segment_numbers(folder)?;
    let mut closed = Vec::new();
    for number in &numbers {
        let length = scan_segment(folder, *number, on_record)?;
        closed.push((*number, length));
    }
    let number = numbers.last().map_or(1, |last| last + 1);
    let file = create_segment(folder, number)?;
    let (jobs, queue) = mpsc::channel();
    let (sender, events) = mpsc::channel();
    let mut writer = Writer {
        folder: folder.to_owned(),
        closed,
        number,
        file,
        length: 0,
        limit_bytes: bytes / 100 * FILL_PERCENT,
        events: sender,
    };
    thread::spawn(move || writer.run(&queue));
    let disk = Disk {
        folder: folder.to_owned(),
        jobs,
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

fn read_identity(folder: &Path) -> io::Result<Option<Identity>> {
    match fs::read(folder.join(IDENTITY_FILE)) {
        Ok(bytes) => {
            let parsed = rmp_serde::from_slice(&bytes);
            Ok(Some(parsed.map_err(io::Error::other)?))
        }
        Err(fault) if fault.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(fault) => Err(fault),
    }
}

fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix("segment-"));
        if let Some(number) = number.and_then(|number| number.parse().ok()) {
            numbers.push(number);
        }
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("segment-{number:010}"))
}

fn create_segment(folder: &Path, number: u64) -> io::Result<File> {
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(segment_path(folder, number))?;
    // Without syncing the folder, the whole file with its synced records may be gone after a power
    // loss.
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Reads a segment up to its end or the first torn frame, and returns the length read.
fn scan_segment(folder: &Path, number: u64, on_record: &mut dyn FnMut(Entry)) -> io::Result<u64> {
    let mut file = File::open(segment_path(folder, number))?;
    let mut buffer: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 256 * 1024];
    let mut offset = 0;
    loop {
        let read = file.read(&mut chunk)?;
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
        let (reply, answer) = oneshot::channel();
        self.send_job(Job::WriteIdentity(Box::new(identity.clone()), reply))?;
        answer.await.map_err(io::Error::other)?
    }

    fn send_job(&self, job: Job) -> io::Result<()> {
        let sent = self.jobs.send(job);
        sent.map_err(|_| io::Error::other("the disk writer thread has ended"))
    }

    /// Reads the record at a location.
    ///
    /// # Errors
    ///
    /// Fails if the disk does, or if no valid record is stored there.
    pub fn read(&self, location: Location) -> io::Result<Record> {
        let file = self.file(location.segment)?;
        let mut frame = vec![0; location.length as usize];
        file.read_exact_at(&mut frame, location.offset)?;
        match record::parse_frame(&frame) {
            Parsed::Record(record, _) => Ok(record),
            Parsed::Incomplete | Parsed::Torn => {
                Err(io::Error::other("no valid record at this location"))
            }
        }
    }

    fn file(&self, segment: u64) -> io::Result<Arc<File>> {
        let mut files = self.files.lock().unwrap_or_else(PoisonError::into_inner);
        match files.binary_search_by_key(&segment, |(number, _)| *number) {
            Ok(at) => Ok(files[at].1.clone()),
            Err(at) => {
                let file = Arc::new(File::open(segment_path(&self.folder, segment))?);
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
                    Job::WriteIdentity(identity, reply) => {
                        // The receiver may be gone and needs no answer then.
                        let _gone = reply.send(self.write_identity(&identity));
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
        let synced = self.file.sync_data();
        for (written, reply) in pending {
            let outcome = match &synced {
                Ok(()) => written,
                Err(fault) => Err(io::Error::other(fault.to_string())),
            };
            // The receiver may be gone and needs no answer then.
            let _gone = reply.send(outcome);
        }
        if self.length < SEGMENT_BYTES {
            return;
        }
        if let Err(fault) = self.roll_segment() {
            log::error!("text=\"can't create a segment\" fault=\"{fault}\"");
        }
    }

    fn write(&mut self, frames: &[Vec<u8>]) -> io::Result<Vec<Location>> {
        let written = self.write_frames(frames);
        if written.is_err() {
            // A partly written frame is torn, so nothing may follow it in this segment.
            self.length = self.length.max(SEGMENT_BYTES);
        }
        written
    }

    fn write_frames(&mut self, frames: &[Vec<u8>]) -> io::Result<Vec<Location>> {
        let mut locations = Vec::with_capacity(frames.len());
        for frame in frames {
            self.file.write_all(frame)?;
            locations.push(Location {
                segment: self.number,
                offset: self.length,
                length: u32::try_from(frame.len()).unwrap_or(u32::MAX),
            });
            self.length += frame.len() as u64;
        }
        Ok(locations)
    }

    fn roll_segment(&mut self) -> io::Result<()> {
        let next = self.number + 1;
        self.file = create_segment(&self.folder, next)?;
        self.closed.push((self.number, self.length));
        self.number = next;
        self.length = 0;
        self.emit(SegmentEvent::Created(next));
        let mut used: u64 = self.closed.iter().map(|(_, length)| length).sum();
        while used + SEGMENT_BYTES > self.limit_bytes && self.closed.len() > 1 {
            let (number, length) = self.closed.remove(0);
            log::warn!(
                "text=\"oldest segment removed\" segment={number} bytes={length} used={used}"
            );
            fs::remove_file(segment_path(&self.folder, number))?;
            used -= length;
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
        let next = self.folder.join("identity.next");
        let mut file = File::create(&next)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&next, self.folder.join(IDENTITY_FILE))?;
        File::open(&self.folder)?.sync_all()
    }
}

#[cfg(test)]
mod tests;

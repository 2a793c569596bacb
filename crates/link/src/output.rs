//! The log's way out: structured lines on standard output, bounded and never blocking.
//!
//! A reader of standard output that stops would else stop the process. Lines go through a queue to
//! a thread of their own; where the queue is full, or one event floods, they are dropped and counted
//! by event, and that thread writes the counts, once a second at most. Lines about refusals and losses
//! may use all of the queue, routine ones three quarters of it, so that a flood of routine lines hides
//! no failure.
//!
//! A process that ends waits for its last lines: the one that says when it ended, and what it cut off,
//! is logged just before, and on one core the writing thread has had no turn by then.

mod limit;

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::Level;
use log::LevelFilter;
use log::Record;
use wire::event::Event;

use crate::output::limit::Dropped;
use crate::output::limit::Limit;
use crate::output::limit::Room;
use crate::output::limit::Verdict;

/// Lines that wait to be written at most: some seconds of a busy VM's lines, about a megabyte.
const DEPTH: usize = 4096;
/// Lines that routine events may have waiting.
const ROUTINE_DEPTH: usize = DEPTH / 4 * 3;
/// How long the end of a process waits for its last lines to be written: a reader that has stopped
/// mustn't hold it for longer.
const LAST_LINES: Duration = Duration::from_millis(200);
/// Bytes of a usual line.
const USUAL: usize = 256;
/// How often it looks whether they are.
const LOOK: Duration = Duration::from_millis(2);

/// A log that is open; dropped, it waits for its last lines to be written.
pub struct Output {
    _logger: LoggerHandle,
    waiting: Arc<AtomicUsize>,
}

impl Drop for Output {
    fn drop(&mut self) {
        let until = Instant::now() + LAST_LINES;
        while self.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(LOOK);
        }
    }
}

struct Queue {
    lines: mpsc::SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    limit: Arc<Mutex<Limit>>,
}

/// Starts the log on standard output; `RUST_LOG` isn't looked at, as the platform passes none on.
///
/// # Errors
///
/// Fails where a logger is set already.
pub fn start(level: LevelFilter) -> Result<Output, FlexiLoggerError> {
    let (lines, written) = mpsc::sync_channel(DEPTH);
    let waiting = Arc::new(AtomicUsize::new(0));
    let limit = Arc::<Mutex<Limit>>::default();
    let queue = Queue {
        lines,
        waiting: waiting.clone(),
        limit: limit.clone(),
    };
    let left = waiting.clone();
    thread::spawn(move || write_all(&written, &left, &limit));
    let spec = LogSpecification::builder().default(level).build();
    let logger = Logger::with(spec).log_to_writer(Box::new(queue)).start()?;
    Ok(Output {
        _logger: logger,
        waiting,
    })
}

/// Writes all lines, and once a second what was dropped. Only while something is left to tell it wakes
/// up by itself: no line may come for long after those that were dropped.
fn write_all(queue: &mpsc::Receiver<Vec<u8>>, waiting: &AtomicUsize, limit: &Mutex<Limit>) {
    let mut out = io::stdout();
    loop {
        let pending = lock(limit).is_pending();
        let first = if pending {
            queue.recv_timeout(limit::WINDOW)
        } else {
            queue.recv().map_err(RecvTimeoutError::from)
        };
        let (mut batch, mut lines) = match first {
            Ok(line) => (line, 1),
            Err(RecvTimeoutError::Timeout) => (Vec::new(), 0),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        while let Ok(more) = queue.try_recv() {
            batch.extend_from_slice(&more);
            lines += 1;
        }
        let dropped = lock(limit).take(Instant::now());
        // Nobody is left to tell where standard output is closed.
        let told = out.write_all(told(&dropped).as_bytes());
        let _closed = told.and_then(|()| out.write_all(&batch));
        let _closed = out.flush();
        waiting.fetch_sub(lines, Ordering::Relaxed);
    }
}

/// Renders the line that tells what was dropped; nothing where nothing was.
fn told(dropped: &Dropped) -> String {
    if dropped.is_empty() {
        return String::new();
    }
    let mut now = DeferredNow::new();
    let at = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    format!(
        "at={at} level=WARN event=E{} text=\"{}\" {dropped}\n",
        Event::LinesDropped.number(),
        Event::LinesDropped.text()
    )
}

fn lock(limit: &Mutex<Limit>) -> MutexGuard<'_, Limit> {
    limit.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Queue {
    fn room(&self, level: Level) -> Room {
        let depth = if level <= Level::Warn {
            DEPTH
        } else {
            ROUTINE_DEPTH
        };
        if self.waiting.load(Ordering::Relaxed) >= depth {
            return Room::Full;
        }
        Room::Free
    }

    /// Hands a line to the writing thread; tells whether it found room.
    fn send(&self, line: Vec<u8>) -> bool {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        sent
    }
}

/// Yields the number of the event that a line's text begins with; zero where it names none.
fn event(text: &[u8]) -> u16 {
    let text = text.strip_prefix(b"event=").unwrap_or(text);
    let digits = text.strip_prefix(b"E").and_then(|text| text.get(..4));
    let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    digits.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(USUAL);
        let at = now.format("%Y-%m-%dT%H:%M:%S%.3f");
        write!(line, "at={at} level={} ", record.level())?;
        let text = line.len();
        writeln!(line, "{}", record.args())?;
        let event = event(&line[text..]);
        let moment = Instant::now();
        {
            let mut limit = lock(&self.limit);
            let room = self.room(record.level());
            let pending = limit.is_pending();
            if limit.judge(event, room, moment) == Verdict::Dropped {
                if !pending {
                    // Wakes the writing thread; where that finds no room, it is awake.
                    self.send(Vec::new());
                }
                return Ok(());
            }
            if event == Event::NodeStopped.number() {
                // The process ends with this line; what is told after it would be lost.
                limit.hurry();
            }
        }
        if !self.send(line) {
            lock(&self.limit).judge(event, Room::Full, moment);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;

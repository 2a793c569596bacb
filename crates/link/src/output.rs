//! Writes structured log lines to standard output through a bounded queue, without blocking.
//!
//! With blocking writes, a reader of standard output that stops reading would stop the process.
//! Lines go through a queue to a writer thread. If the queue is full or one event exceeds its rate,
//! lines are dropped and counted by event, and the writer thread logs the counts at most once a
//! second. Lines of level warning and above may use the whole queue, other lines three quarters of
//! it, so that a flood of routine lines hides no failure.
//!
//! A process that exits waits for its last lines to be written. The line that says when it ended
//! and what it cut off is logged just before the exit, and on one core the writer thread has not
//! yet run by then.

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

use crate::output::limit::Limit;
use crate::output::limit::Report;
use crate::output::limit::Room;
use crate::output::limit::Verdict;

/// The largest number of queued lines: a few seconds of a busy VM's lines, about a megabyte.
const MAX_QUEUED_LINES: usize = 4096;
/// The number of queued lines from which on lines below warning level are dropped.
const MAX_ROUTINE_LINES: usize = MAX_QUEUED_LINES / 4 * 3;
/// How long an exiting process waits for its last lines to be written. A reader that has stopped
/// reading must not delay the exit any longer.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The length of a typical line in bytes.
const TYPICAL_LINE_BYTES: usize = 256;
/// How often an exiting process checks whether all lines have been written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// An open log. Dropping it waits for its last lines to be written.
pub struct Output {
    _logger: LoggerHandle,
    /// Lines that have been queued and not yet written.
    waiting: Arc<AtomicUsize>,
}

impl Drop for Output {
    fn drop(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

struct Queue {
    lines: mpsc::SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    limit: Arc<Mutex<Limit>>,
}

/// Starts logging to standard output. Ignores `RUST_LOG` because the platform doesn't pass it on.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn start(level: LevelFilter) -> Result<Output, FlexiLoggerError> {
    let (lines, queued) = mpsc::sync_channel(MAX_QUEUED_LINES);
    let waiting = Arc::new(AtomicUsize::new(0));
    let limit = Arc::<Mutex<Limit>>::default();
    let queue = Queue {
        lines,
        waiting: waiting.clone(),
        limit: limit.clone(),
    };
    let still_waiting = waiting.clone();
    thread::spawn(move || run_writer(&queued, &still_waiting, &limit));
    let spec = LogSpecification::builder().default(level).build();
    let logger = Logger::with(spec).log_to_writer(Box::new(queue)).start()?;
    Ok(Output {
        _logger: logger,
        waiting,
    })
}

/// Writes the queued lines, and at most once a second a line that reports dropped lines. While a
/// report is pending, wakes up without a new line because the next one may come much later.
fn run_writer(queue: &mpsc::Receiver<Vec<u8>>, waiting: &AtomicUsize, limit: &Mutex<Limit>) {
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
        let report = lock(limit).take_report(Instant::now());
        // Errors are ignored: if standard output is closed, there is nowhere to report them.
        let written = out.write_all(report_line(&report).as_bytes());
        let _closed = written.and_then(|()| out.write_all(&batch));
        let _closed = out.flush();
        waiting.fetch_sub(lines, Ordering::Relaxed);
    }
}

/// Formats the line that reports the dropped lines. Returns an empty string if none were dropped.
fn report_line(report: &Report) -> String {
    if report.is_empty() {
        return String::new();
    }
    let mut now = DeferredNow::new();
    let at = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    format!(
        "at={at} level=WARN event=E{} text=\"{}\" {report}\n",
        Event::LinesDropped.number(),
        Event::LinesDropped.text()
    )
}

fn lock(limit: &Mutex<Limit>) -> MutexGuard<'_, Limit> {
    limit.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Queue {
    fn room(&self, level: Level) -> Room {
        let capacity = if level <= Level::Warn {
            MAX_QUEUED_LINES
        } else {
            MAX_ROUTINE_LINES
        };
        if self.waiting.load(Ordering::Relaxed) >= capacity {
            return Room::Full;
        }
        Room::Free
    }

    /// Queues a line for the writer thread. Returns `false` if the queue is full.
    fn send(&self, line: Vec<u8>) -> bool {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        sent
    }
}

/// Parses the event number at the start of a line's text. Returns 0 if the text names no event.
fn event_number(text: &[u8]) -> u16 {
    let text = text.strip_prefix(b"event=").unwrap_or(text);
    let digits = text.strip_prefix(b"E").and_then(|text| text.get(..4));
    let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
    digits.and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(TYPICAL_LINE_BYTES);
        let at = now.format("%Y-%m-%dT%H:%M:%S%.3f");
        write!(line, "at={at} level={} ", record.level())?;
        let text_start = line.len();
        writeln!(line, "{}", record.args())?;
        let event = event_number(&line[text_start..]);
        let instant = Instant::now();
        {
            let mut limit = lock(&self.limit);
            let room = self.room(record.level());
            let pending = limit.is_pending();
            if limit.decide(event, room, instant) == Verdict::Dropped {
                if !pending {
                    // Wakes the writer thread. If the queue is full, the thread is already awake.
                    self.send(Vec::new());
                }
                return Ok(());
            }
            if event == Event::NodeStopped.number() {
                // This is the last line of the process: a later report would be lost.
                limit.allow_report();
            }
        }
        if !self.send(line) {
            lock(&self.limit).decide(event, Room::Full, instant);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;

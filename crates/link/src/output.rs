//! The log's way out: structured lines on standard output, bounded and never blocking.
//!
//! A reader of standard output that stops would else stop the process. Lines go through a queue to
//! a thread of their own; where the queue is full they are dropped and counted, and the count is
//! written with the next line that passes. Lines about refusals and losses may use all of the
//! queue, routine ones three quarters of it, so that a flood of routine lines hides no failure.
//!
//! A process that ends waits for its last lines: the one that says when it ended, and what it cut off,
//! is logged just before, and on one core the writing thread has had no turn by then.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
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

/// Lines that wait to be written at most: some seconds of a busy VM's lines, about a megabyte.
const DEPTH: usize = 4096;
/// Lines that routine events may have waiting.
const ROUTINE_DEPTH: usize = DEPTH / 4 * 3;
/// How long the end of a process waits for its last lines to be written: a reader that has stopped
/// mustn't hold it for longer.
const LAST_LINES: Duration = Duration::from_millis(200);
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
    dropped: AtomicU64,
}

/// Starts the log on standard output; `RUST_LOG` isn't looked at, as the platform passes none on.
///
/// # Errors
///
/// Fails where a logger is set already.
pub fn start(level: LevelFilter) -> Result<Output, FlexiLoggerError> {
    let (lines, queue) = mpsc::sync_channel(DEPTH);
    let waiting = Arc::new(AtomicUsize::new(0));
    let left = waiting.clone();
    thread::spawn(move || write_all(&queue, &left));
    let writer = Queue {
        lines,
        waiting: waiting.clone(),
        dropped: AtomicU64::new(0),
    };
    let spec = LogSpecification::builder().default(level).build();
    let logger = Logger::with(spec).log_to_writer(Box::new(writer)).start()?;
    Ok(Output {
        _logger: logger,
        waiting,
    })
}

fn write_all(queue: &mpsc::Receiver<Vec<u8>>, waiting: &AtomicUsize) {
    let mut out = io::stdout();
    while let Ok(mut batch) = queue.recv() {
        let mut lines = 1;
        while let Ok(more) = queue.try_recv() {
            batch.extend_from_slice(&more);
            lines += 1;
        }
        // Nobody is left to tell where standard output is closed.
        let _closed = out.write_all(&batch).and_then(|()| out.flush());
        waiting.fetch_sub(lines, Ordering::Relaxed);
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let room = if record.level() <= Level::Warn {
            DEPTH
        } else {
            ROUTINE_DEPTH
        };
        if self.waiting.load(Ordering::Relaxed) >= room {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        let at = now.format("%Y-%m-%dT%H:%M:%S%.3f");
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            writeln!(
                line,
                "at={at} level=WARN event=E1005 text=\"lines dropped\" lines={dropped}"
            )?;
        }
        writeln!(line, "at={at} level={} {}", record.level(), record.args())?;
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            // The line that tells the count is lost with it.
            self.dropped.fetch_add(1 + dropped, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

//! Thread that writes log lines in batches.
//!
//! A stream that blocks delays only this thread. The queue then fills up, and
//! further lines are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::Thread;
use std::time::Duration;
use std::time::Instant;

use flume::Receiver;
use flume::Sender;
use log::Record;

use super::rate_limit::RateLimits;

/// Maximum number of lines in the queue of the writer thread.
const MAX_QUEUED_LINES: usize = 1024;

/// Time for which the writer thread collects lines before it writes a batch.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of lines in a batch after its first line.
const MAX_BATCH_LINES: usize = 256;

/// Longest time that [`Writer::flush`] waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two checks whether [`Writer::flush`] is done.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Handle that queues log lines for the writer thread.
#[derive(Clone)]
pub(super) struct Writer {
    limits: Arc<Mutex<RateLimits>>,
    lines: Sender<String>,
    /// Number of lines that are queued and not written yet.
    unwritten: Arc<AtomicUsize>,
    thread: Option<Thread>,
}

/// Starts the thread that writes to `stream`.
pub(super) fn start(stream: impl Write + Send + 'static) -> Writer {
    let (lines, queue) = flume::bounded(MAX_QUEUED_LINES);
    let unwritten = Arc::new(AtomicUsize::new(0));
    let written = Arc::clone(&unwritten);
    let started = thread::Builder::new()
        .name("logs".to_string())
        .spawn(move || run(stream, &queue, &written));
    Writer {
        limits: Arc::default(),
        lines,
        unwritten,
        // If the thread can't be started, lines are dropped once the queue is
        // full.
        thread: started.ok().map(|handle| handle.thread().clone()),
    }
}

impl Writer {
    /// Queues a record, unless its statement has reached its rate limit or the
    /// queue is full. Never blocks: while another thread holds the lock on the
    /// rate limits, the record is dropped and not counted.
    pub(super) fn write(
        &self,
        record: &Record<'_>,
        format_line: impl FnOnce(u64) -> Option<String>,
    ) {
        let (file, number) = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let Ok(mut limits) = self.limits.try_lock() else {
            return;
        };
        let Some(dropped) = limits.try_acquire(file, number, Instant::now()) else {
            return;
        };
        let Some(line) = format_line(dropped) else {
            return;
        };
        self.unwritten.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.unwritten.fetch_sub(1, Ordering::Relaxed);
            limits.record_dropped(file, number, dropped + 1);
        }
    }

    /// Waits until the queued lines are written, at most [`FLUSH_TIMEOUT`].
    pub(super) fn flush(&self) {
        let Some(thread) = &self.thread else {
            return;
        };
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.unwritten.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread.unpark();
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

fn run(mut stream: impl Write, queue: &Receiver<String>, unwritten: &AtomicUsize) {
    let mut buf = Vec::new();
    while let Ok(first) = queue.recv() {
        thread::park_timeout(BATCH_DELAY);
        buf.clear();
        buf.extend_from_slice(first.as_bytes());
        let mut lines = 1;
        for line in queue.try_iter().take(MAX_BATCH_LINES) {
            buf.extend_from_slice(line.as_bytes());
            lines += 1;
        }
        // A failure of the log stream can't be logged.
        let _ = stream.write_all(&buf).and_then(|()| stream.flush());
        unwritten.fetch_sub(lines, Ordering::Relaxed);
    }
}

//! The one thread that writes log lines.
//!
//! It writes what has come together in one go. A stream that is full or
//! closed holds up nobody but this thread; the queue fills, and further lines
//! are counted and left out.

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

/// Lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1024;

/// Time in which lines come together before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(200);

/// Lines written in one go.
const MAX_BATCH_LINES: usize = 256;

/// Longest time that the end of a process waits for its last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two looks at whether they are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Way of log lines to the thread that writes them.
#[derive(Clone)]
pub(super) struct Writer {
    limits: Arc<Mutex<RateLimits>>,
    lines: Sender<String>,
    /// Lines that were taken and are not written yet.
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
        // Without the thread, lines are left out once the queue is full.
        thread: started.ok().map(|handle| handle.thread().clone()),
    }
}

impl Writer {
    /// Takes a record unless its kind is over the limit or the queue is full.
    /// Never waits: a record that comes while another thread is being counted
    /// is left out.
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

    /// Waits a short time for what was taken to be written.
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
        // Nobody can be told that the stream for telling is closed.
        let _ = stream.write_all(&buf).and_then(|()| stream.flush());
        unwritten.fetch_sub(lines, Ordering::Relaxed);
    }
}

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

use super::limit::Limits;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 1024;

/// Time in which lines come together before they are written.
const GATHER: Duration = Duration::from_millis(200);

/// Lines written in one go.
const BATCH_LINES: usize = 256;

/// Longest time that the end of a process waits for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Time between two looks at whether they are written.
const FLUSH_STEP: Duration = Duration::from_millis(2);

/// Way of log lines to the thread that writes them.
#[derive(Clone)]
pub(super) struct Writer {
    limits: Arc<Mutex<Limits>>,
    lines: Sender<String>,
    /// Lines that were taken and are not written yet.
    waiting: Arc<AtomicUsize>,
    thread: Option<Thread>,
}

/// Starts the thread that writes to `stream`.
pub(super) fn start(stream: impl Write + Send + 'static) -> Writer {
    let (lines, queue) = flume::bounded(QUEUE_LINES);
    let waiting = Arc::new(AtomicUsize::new(0));
    let written = Arc::clone(&waiting);
    let started = thread::Builder::new()
        .name("logs".to_string())
        .spawn(move || run(stream, &queue, &written));
    Writer {
        limits: Arc::default(),
        lines,
        waiting,
        // Without the thread, lines are left out once the queue is full.
        thread: started.ok().map(|handle| handle.thread().clone()),
    }
}

impl Writer {
    /// Takes a record unless its kind is over the limit or the queue is full.
    /// Never waits: a record that comes while another thread is being counted
    /// is left out.
    pub(super) fn take(&self, record: &Record<'_>, line_of: impl FnOnce(u64) -> Option<String>) {
        let (file, number) = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let Ok(mut limits) = self.limits.try_lock() else {
            return;
        };
        let Some(left_out) = limits.allow(file, number, Instant::now()) else {
            return;
        };
        let Some(line) = line_of(left_out) else {
            return;
        };
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            limits.lost(file, number, left_out + 1);
        }
    }

    /// Waits a short time for what was taken to be written.
    pub(super) fn flush(&self) {
        let Some(thread) = &self.thread else {
            return;
        };
        let until = Instant::now() + FLUSH_LIMIT;
        while self.waiting.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread.unpark();
            thread::sleep(FLUSH_STEP);
        }
    }
}

fn run(mut stream: impl Write, queue: &Receiver<String>, waiting: &AtomicUsize) {
    let mut buf = Vec::new();
    while let Ok(first) = queue.recv() {
        thread::park_timeout(GATHER);
        buf.clear();
        buf.extend_from_slice(first.as_bytes());
        let mut lines = 1;
        for line in queue.try_iter().take(BATCH_LINES) {
            buf.extend_from_slice(line.as_bytes());
            lines += 1;
        }
        // Nobody can be told that the stream for telling is closed.
        let _ = stream.write_all(&buf).and_then(|()| stream.flush());
        waiting.fetch_sub(lines, Ordering::Relaxed);
    }
}

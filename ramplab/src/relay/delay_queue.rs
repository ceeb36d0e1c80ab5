//! Queue that delivers each item after a fixed delay, in the order of sending. The
//! relay uses it to simulate the latency between data centres.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

/// Items in the queue at once; when it is full, the sender waits or the item is
/// dropped.
const QUEUE_CAPACITY: usize = 1024;

/// Sending end of a delay queue.
#[derive(Clone, Debug)]
pub struct Sender<T> {
    tx: mpsc::Sender<(Instant, T)>,
    delay: Duration,
}

/// Receiving end of a delay queue.
#[derive(Debug)]
pub struct Receiver<T> {
    rx: mpsc::Receiver<(Instant, T)>,
}

/// Creates a queue with this delay.
pub fn delay_queue<T>(delay: Duration) -> (Sender<T>, Receiver<T>) {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    (Sender { tx, delay }, Receiver { rx })
}

impl<T> Sender<T> {
    /// Sends an item, waiting while the queue is full; returns false when the
    /// receiver is gone.
    pub async fn send(&self, item: T) -> bool {
        let due = Instant::now() + self.delay;
        self.tx.send((due, item)).await.is_ok()
    }

    /// Sends an item, or drops it when the queue is full.
    pub fn send_or_drop(&self, item: T) {
        let due = Instant::now() + self.delay;
        let _ = self.tx.try_send((due, item));
    }
}

impl<T> Receiver<T> {
    /// Waits until the next item is due; none when all senders are gone.
    pub async fn recv(&mut self) -> Option<T> {
        let (due, item) = self.rx.recv().await?;
        // Skipped when the item is already due, because even a sleep of zero takes
        // a tick of the timer.
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        Some(item)
    }
}

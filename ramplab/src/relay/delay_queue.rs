//! A line on which things arrive after a delay, in order.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

/// Things under way at once; more wait before the line.
const QUEUE_CAPACITY: usize = 1024;

/// Sending end of a line.
#[derive(Clone, Debug)]
pub struct Sender<T> {
    tx: mpsc::Sender<(Instant, T)>,
    delay: Duration,
}

/// Receiving end of a line.
#[derive(Debug)]
pub struct Receiver<T> {
    rx: mpsc::Receiver<(Instant, T)>,
}

/// Line with this delay.
pub fn delay_queue<T>(delay: Duration) -> (Sender<T>, Receiver<T>) {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    (Sender { tx, delay }, Receiver { rx })
}

impl<T> Sender<T> {
    /// Puts a thing on the line, waiting for room; false when nobody receives.
    pub async fn send(&self, item: T) -> bool {
        let due = Instant::now() + self.delay;
        self.tx.send((due, item)).await.is_ok()
    }

    /// Puts a thing on the line, or drops it when there is no room.
    pub fn send_or_drop(&self, item: T) {
        let due = Instant::now() + self.delay;
        let _ = self.tx.try_send((due, item));
    }
}

impl<T> Receiver<T> {
    /// Waits for the next arrival; none when the line has ended.
    pub async fn recv(&mut self) -> Option<T> {
        let (due, item) = self.rx.recv().await?;
        // Even a sleep of no time takes a tick of the timer.
        if due > Instant::now() {
            tokio::time::sleep_until(due).await;
        }
        Some(item)
    }
}

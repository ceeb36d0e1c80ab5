//! Control of a process whose packets pass through: follows what the platform
//! publishes and hands each new view to the traffic thread.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use ramp_coordination::passthrough::catalog::Catalog;
use ramp_coordination::passthrough::published::Changes;
use ramp_coordination::passthrough::source::Source;
use ramp_coordination::passthrough::source::SourceError;
use tokio::time::sleep;
use tokio::time::timeout;

use super::news::Event;
use super::news::Update;
use super::ready::Readiness;
use crate::clock::Clock;

/// Time that the platform holds a watch open when nothing changes.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Pause after a failed call, growing up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(50);

/// Longest pause between failed calls.
const RETRY_LONGEST: Duration = Duration::from_millis(400);

/// Failed calls in a row from which the platform counts as away.
const AWAY_AFTER: u32 = 2;

/// Time a watch has to bring what a peer already knows.
const CATCH_UP: Duration = Duration::from_millis(300);

/// Follows the platform through `source`.
pub struct Control<S> {
    /// The platform's client.
    pub source: S,
    /// Clock of the process.
    pub clock: Clock,
    /// News to the traffic thread.
    pub updates: Sender<Update>,
    /// News from the traffic thread.
    pub events: Receiver<Event>,
    /// Told once a view is there.
    pub readiness: Rc<Readiness>,
}

impl<S: Source> Control<S> {
    /// Runs until the traffic thread has finished.
    pub async fn run(mut self) {
        let mut catalog = Catalog::new();
        let mut list = true;
        let mut failures = 0;
        loop {
            let result = if list {
                let listing = self.source.list().await;
                listing.map(|listing| catalog.replace(self.clock.now(), listing))
            } else {
                match self.watch(&catalog).await {
                    Watched::Changed(result) => {
                        result.map(|changes| catalog.apply(self.clock.now(), changes))
                    }
                    Watched::Behind => continue,
                    Watched::Finished => return,
                }
            };
            match result {
                Ok(()) => {
                    if failures >= AWAY_AFTER {
                        log::info!("the platform is back");
                    }
                    failures = 0;
                    list = false;
                    self.publish(&catalog);
                }
                Err(err) => {
                    failures += 1;
                    list |= err == SourceError::Forgotten;
                    log::warn!("{err}; failed calls in a row: {failures}");
                    if failures == AWAY_AFTER {
                        catalog.platform_failed();
                        self.publish(&catalog);
                    }
                    if self.pause(failures).await {
                        return;
                    }
                }
            }
        }
    }

    fn publish(&self, catalog: &Catalog) {
        let Some(view) = catalog.view(self.clock.now()) else {
            return;
        };
        self.readiness.begin();
        // The traffic thread is gone only when the process ends.
        let _ = self.updates.send(Update::View(Arc::new(view)));
    }
}

/// How a watch ended.
enum Watched {
    Changed(Result<Changes, SourceError>),
    /// A peer knows more: the watch may be dead.
    Behind,
    Finished,
}

impl<S: Source> Control<S> {
    async fn watch(&mut self, catalog: &Catalog) -> Watched {
        let known = catalog.newest();
        let watch = self.source.watch(catalog.cursor(), WATCH_WAIT);
        tokio::pin!(watch);
        loop {
            let event = tokio::select! {
                result = &mut watch => return Watched::Changed(result),
                event = self.events.recv_async() => event,
            };
            match event {
                Ok(Event::Heard(heard)) if heard > known => {
                    return match timeout(CATCH_UP, &mut watch).await {
                        Ok(result) => Watched::Changed(result),
                        Err(_) => Watched::Behind,
                    };
                }
                Ok(Event::Heard(_)) => {}
                Ok(Event::Finished) | Err(_) => return Watched::Finished,
            }
        }
    }

    /// Waits before the next try; true when the process ends.
    async fn pause(&self, failures: u32) -> bool {
        let longer = RETRY_FIRST * 2u32.saturating_pow(failures.min(8) - 1);
        let pause = sleep(longer.min(RETRY_LONGEST));
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return false,
                event = self.events.recv_async() => match event {
                    Ok(Event::Heard(_)) => {}
                    Ok(Event::Finished) | Err(_) => return true,
                },
            }
        }
    }
}

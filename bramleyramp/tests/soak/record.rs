//! Record of a run: disruptions with their times, requests sent, outcomes that callers
//! saw, and every violation of an invariant.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

/// Target name of disruptions of the store.
pub const STORE: &str = "store";

/// Time after the end of a disruption in which it may still have effects.
pub const DISRUPTION_AFTERMATH: Duration = Duration::from_millis(4000);

/// Period in which a process, record or the store did not work.
struct Disruption {
    target: String,
    started_at: Instant,
    ended_at: Option<Instant>,
}

/// Handle to end a disruption.
#[derive(Clone, Copy, Debug)]
pub struct DisruptionId(usize);

/// Number of callers' attempts, by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub served: u32,
    /// The flow was reset before it opened.
    pub refused: u32,
    /// A SYN got no answer in time.
    pub unopened: u32,
    /// The flow was reset after it had opened.
    pub cut: u32,
    /// A request got no answer in time.
    pub unanswered: u32,
}

/// Record of one run.
pub struct Record {
    started: Instant,
    disruptions: Vec<Disruption>,
    /// Ids of all requests that callers have sent.
    pub sent_requests: HashSet<String>,
    pub outcomes: Outcomes,
    pub violations: Vec<String>,
    pub events: Vec<String>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            disruptions: Vec::new(),
            sent_requests: HashSet::new(),
            outcomes: Outcomes::default(),
            violations: Vec::new(),
            events: Vec::new(),
        }
    }

    pub fn log_event(&mut self, what: &str) {
        let ms = self.started.elapsed().as_millis();
        self.events.push(format!("{ms:>6} ms  {what}"));
    }

    pub fn add_violation(&mut self, what: &str) {
        self.log_event(&format!("VIOLATION: {what}"));
        self.violations.push(what.to_string());
    }

    pub fn begin(&mut self, target: &str) -> DisruptionId {
        self.disruptions.push(Disruption {
            target: target.to_string(),
            started_at: Instant::now(),
            ended_at: None,
        });
        DisruptionId(self.disruptions.len() - 1)
    }

    pub fn end(&mut self, id: DisruptionId) {
        self.disruptions[id.0].ended_at = Some(Instant::now());
    }

    /// Whether `target` is disrupted, or was within [`DISRUPTION_AFTERMATH`].
    pub fn was_disrupted(&self, target: &str) -> bool {
        let theirs = self
            .disruptions
            .iter()
            .filter(|disruption| disruption.target == target);
        theirs.into_iter().any(|disruption| {
            disruption
                .ended_at
                .is_none_or(|at| at.elapsed() < DISRUPTION_AFTERMATH)
        })
    }

    /// End of the last disruption of any target whose name starts with one of
    /// `targets`, but not before `since`; `None` while one is disrupted.
    pub fn undisturbed_since(&self, targets: &[&str], since: Instant) -> Option<Instant> {
        let concerns = |disruption: &&Disruption| {
            targets
                .iter()
                .any(|name| disruption.target.starts_with(name))
        };
        let mut undisturbed = since;
        for disruption in self.disruptions.iter().filter(concerns) {
            let ended_at = disruption.ended_at?;
            if disruption.started_at > since || ended_at > since {
                undisturbed = undisturbed.max(ended_at);
            }
        }
        Some(undisturbed)
    }
}

//! What happened in a run: disruptions with their times, what the operators
//! wrote, what callers and servers saw, and every promise that was broken.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

/// Name of disruptions of the store itself.
pub const STORE: &str = "store";

/// Time after a disruption in which its traces count as caused by it.
pub const DISRUPTION_AFTERMATH: Duration = Duration::from_millis(4000);

/// Something that was wrong for a while.
struct Disruption {
    target: String,
    started_at: Instant,
    ended_at: Option<Instant>,
}

/// Handle of a disruption that has begun.
#[derive(Clone, Copy, Debug)]
pub struct DisruptionId(usize);

/// How callers' tries ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub served: u32,
    /// Reset before the flow opened.
    pub refused: u32,
    /// No answer to an opening.
    pub unopened: u32,
    /// An open flow was reset.
    pub cut: u32,
    /// No answer to a request.
    pub unanswered: u32,
}

/// The record of one run.
pub struct Record {
    started: Instant,
    disruptions: Vec<Disruption>,
    /// Ids of requests that callers have sent.
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
        self.log_event(&format!("BROKEN: {what}"));
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

    /// Whether `target` is in disruption, or was a moment ago.
    pub fn was_disrupted(&self, target: &str) -> bool {
        let theirs = self.disruptions.iter().filter(|t| t.target == target);
        theirs.into_iter().any(|t| {
            t.ended_at
                .is_none_or(|at| at.elapsed() < DISRUPTION_AFTERMATH)
        })
    }

    /// Since when nobody whose name begins so has been in disruption, but not
    /// before `since`; none while somebody is.
    pub fn undisturbed_since(&self, target: &[&str], since: Instant) -> Option<Instant> {
        let concerns = |t: &&Disruption| target.iter().any(|name| t.target.starts_with(name));
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

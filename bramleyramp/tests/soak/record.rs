//! What happened in a run: troubles with their times, what the operators
//! wrote, what callers and servers saw, and every promise that was broken.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

/// Name of troubles of the store itself.
pub const STORE: &str = "store";

/// Time after a trouble in which its traces count as caused by it.
pub const STABLE: Duration = Duration::from_millis(4000);

/// Something that was wrong for a while.
struct Trouble {
    whom: String,
    from: Instant,
    until: Option<Instant>,
}

/// Handle of a trouble that has begun.
#[derive(Clone, Copy, Debug)]
pub struct TroubleId(usize);

/// How callers' tries ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ends {
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
    troubles: Vec<Trouble>,
    /// Ids of requests that callers have sent.
    pub asked: HashSet<String>,
    pub ends: Ends,
    pub violations: Vec<String>,
    pub story: Vec<String>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            started: Instant::now(),
            troubles: Vec::new(),
            asked: HashSet::new(),
            ends: Ends::default(),
            violations: Vec::new(),
            story: Vec::new(),
        }
    }

    pub fn tell(&mut self, what: &str) {
        let ms = self.started.elapsed().as_millis();
        self.story.push(format!("{ms:>6} ms  {what}"));
    }

    pub fn violation(&mut self, what: &str) {
        self.tell(&format!("BROKEN: {what}"));
        self.violations.push(what.to_string());
    }

    pub fn begin(&mut self, whom: &str) -> TroubleId {
        self.troubles.push(Trouble {
            whom: whom.to_string(),
            from: Instant::now(),
            until: None,
        });
        TroubleId(self.troubles.len() - 1)
    }

    pub fn end(&mut self, id: TroubleId) {
        self.troubles[id.0].until = Some(Instant::now());
    }

    /// Whether `whom` is in trouble, or was a moment ago.
    pub fn is_troubled(&self, whom: &str) -> bool {
        let theirs = self.troubles.iter().filter(|t| t.whom == whom);
        theirs
            .into_iter()
            .any(|t| t.until.is_none_or(|at| at.elapsed() < STABLE))
    }

    /// Since when nobody whose name begins so has been in trouble, but not
    /// before `since`; none while somebody is.
    pub fn calm_since(&self, whom: &[&str], since: Instant) -> Option<Instant> {
        let concerns = |t: &&Trouble| whom.iter().any(|name| t.whom.starts_with(name));
        let mut calm = since;
        for trouble in self.troubles.iter().filter(concerns) {
            let until = trouble.until?;
            if trouble.from > since || until > since {
                calm = calm.max(until);
            }
        }
        Some(calm)
    }
}

//! Per-server policy: limits, timeouts and objectives of a backend server, and
//! the table of the keys that set them.

use std::time::Duration;

/// Settings of a backend server, with defaults and exceptions applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Maximum number of concurrent requests at a warm backend server.
    pub slots: u32,
    /// Maximum number of open connections at a backend server.
    pub connections: u32,
    /// Weight in the distribution of new flows; 100 is a normal share.
    pub weight: u32,
    /// Maximum number of concurrent requests at a cold backend server.
    pub cold_slots: u32,
    /// Number of completed requests after which the limit of a cold backend
    /// server rises by one.
    pub cold_step: u32,
    /// Maximum time that a leaving backend server may take to drain.
    pub drain_limit: Duration,
    /// Deadline of a request whose caller sets none.
    pub deadline: Duration,
    /// Maximum time that a request waits for a slot before it is refused.
    pub queue_limit: Duration,
    /// Retry budget: retries of requests that did not run, in percent of first
    /// attempts.
    pub retry_percent: u32,
    /// Minimum retry delay that refused callers are asked to keep.
    pub retry_after: Duration,
    /// Retention time of the outcome of an idempotency key.
    pub key_retention: Duration,
    /// Objective for the share of requests served, in parts per million.
    pub served_objective_ppm: u32,
    /// Objective for the response time of a served request.
    pub answer_objective: Duration,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            slots: 5,
            connections: 2000,
            weight: 100,
            cold_slots: 1,
            cold_step: 4,
            drain_limit: Duration::from_secs(3600),
            deadline: Duration::from_secs(30),
            queue_limit: Duration::from_millis(200),
            retry_percent: 20,
            retry_after: Duration::from_secs(1),
            key_retention: Duration::from_secs(600),
            served_objective_ppm: 999_000,
            answer_objective: Duration::from_secs(1),
        }
    }
}

/// Longest duration that a key may set, in milliseconds: one day.
const MAX_DURATION_MS: u32 = 86_400_000;

/// A key that sets one field of [`Policy`] to a whole number in a range.
#[derive(Clone, Copy, Debug)]
pub struct PolicyKey {
    /// Key as written in the fleet document.
    pub name: &'static str,
    /// Unit of its value.
    pub unit: &'static str,
    /// Smallest value allowed.
    pub min: u32,
    /// Largest value allowed.
    pub max: u32,
    /// Meaning of the key, for the key reference.
    pub description: &'static str,
    get: fn(&Policy) -> u32,
    set: fn(&mut Policy, u32),
}

impl PolicyKey {
    /// Value when the document does not set this key.
    pub fn default(&self) -> u32 {
        (self.get)(&Policy::default())
    }

    /// Value of this key in `policy`.
    pub fn value(&self, policy: &Policy) -> u32 {
        (self.get)(policy)
    }

    /// Parses `value`; `None` unless it is a decimal number in the range.
    pub fn parse(&self, value: &str) -> Option<u32> {
        // The parser of the standard library would also accept a leading plus.
        if !value.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let number: u32 = value.parse().ok()?;
        (self.min..=self.max).contains(&number).then_some(number)
    }

    /// Description of the allowed values, for error messages.
    pub fn allowed(&self) -> String {
        format!(
            "a whole number from {} to {} ({})",
            self.min, self.max, self.unit
        )
    }
}

/// All keys of a policy, in the order of the key reference.
pub const POLICY_KEYS: &[PolicyKey] = &[
    PolicyKey {
        name: "slots",
        unit: "requests",
        min: 1,
        max: 100_000,
        description: "requests that a warm backend server runs at once",
        get: |p| p.slots,
        set: |p, x| p.slots = x,
    },
    PolicyKey {
        name: "connections",
        unit: "connections",
        min: 1,
        max: 1_000_000,
        description: "connections that a backend server holds at once",
        get: |p| p.connections,
        set: |p, x| p.connections = x,
    },
    PolicyKey {
        name: "weight",
        unit: "percent of a normal share",
        min: 0,
        max: 10_000,
        description: "share of new flows relative to other servers",
        get: |p| p.weight,
        set: |p, x| p.weight = x,
    },
    PolicyKey {
        name: "cold_slots",
        unit: "requests",
        min: 1,
        max: 1_000,
        description: "requests in progress that a cold backend server may have",
        get: |p| p.cold_slots,
        set: |p, x| p.cold_slots = x,
    },
    PolicyKey {
        name: "cold_step",
        unit: "requests",
        min: 1,
        max: 10_000,
        description: "finished requests by which a cold backend server gains one more slot",
        get: |p| p.cold_step,
        set: |p, x| p.cold_step = x,
    },
    PolicyKey {
        name: "drain_limit_ms",
        unit: "milliseconds",
        min: 0,
        max: MAX_DURATION_MS,
        description: "time a leaving backend server may take to finish its work",
        get: |p| p.drain_limit.as_millis() as u32,
        set: |p, x| p.drain_limit = millis(x),
    },
    PolicyKey {
        name: "deadline_ms",
        unit: "milliseconds",
        min: 1,
        max: MAX_DURATION_MS,
        description: "time a request may take when the caller sets no deadline",
        get: |p| p.deadline.as_millis() as u32,
        set: |p, x| p.deadline = millis(x),
    },
    PolicyKey {
        name: "queue_limit_ms",
        unit: "milliseconds",
        min: 0,
        max: MAX_DURATION_MS,
        description: "time a request may wait for a slot before it is refused",
        get: |p| p.queue_limit.as_millis() as u32,
        set: |p, x| p.queue_limit = millis(x),
    },
    PolicyKey {
        name: "retry_percent",
        unit: "percent of first tries",
        min: 0,
        max: 100,
        description: "retries of not-run work allowed",
        get: |p| p.retry_percent,
        set: |p, x| p.retry_percent = x,
    },
    PolicyKey {
        name: "retry_after_ms",
        unit: "milliseconds",
        min: 0,
        max: MAX_DURATION_MS,
        description: "shortest time told to refused callers",
        get: |p| p.retry_after.as_millis() as u32,
        set: |p, x| p.retry_after = millis(x),
    },
    PolicyKey {
        name: "key_retention_ms",
        unit: "milliseconds",
        min: 0,
        max: MAX_DURATION_MS,
        description: "time for which the outcome of an idempotency key is kept",
        get: |p| p.key_retention.as_millis() as u32,
        set: |p, x| p.key_retention = millis(x),
    },
    PolicyKey {
        name: "served_objective_ppm",
        unit: "parts per million",
        min: 0,
        max: 1_000_000,
        description: "objective: share of requests served",
        get: |p| p.served_objective_ppm,
        set: |p, x| p.served_objective_ppm = x,
    },
    PolicyKey {
        name: "answer_objective_ms",
        unit: "milliseconds",
        min: 1,
        max: MAX_DURATION_MS,
        description: "objective: time in which a request is answered",
        get: |p| p.answer_objective.as_millis() as u32,
        set: |p, x| p.answer_objective = millis(x),
    },
];

/// Why a value could not be set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetError {
    /// No policy key has this name.
    UnknownKey,
    /// The value is no number or out of range; holds a description of the allowed
    /// values.
    BadValue(String),
}

impl Policy {
    /// Sets one key to a value as written in the fleet document.
    ///
    /// # Errors
    ///
    /// [`SetError`] when the key is unknown or its value is not allowed.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), SetError> {
        let Some(key) = POLICY_KEYS.iter().find(|k| k.name == key) else {
            return Err(SetError::UnknownKey);
        };
        let Some(number) = key.parse(value) else {
            return Err(SetError::BadValue(key.allowed()));
        };
        (key.set)(self, number);
        Ok(())
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

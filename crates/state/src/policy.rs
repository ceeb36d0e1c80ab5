//! Settings that apply to a backend server, and the table of their keys.

use std::time::Duration;

/// Settings that apply to a backend server, after defaults and exceptions.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Requests that a warm backend server runs at once.
    pub slots: u32,
    /// Connections that a backend server holds at once.
    pub connections: u32,
    /// Share of new flows relative to other servers; 100 is the normal share.
    pub weight: u32,
    /// Requests in progress that a cold backend server may have.
    pub cold_slots: u32,
    /// Finished requests by which a cold backend server gains one more slot.
    pub cold_step: u32,
    /// Time a leaving backend server may take to finish its work.
    pub drain_limit: Duration,
    /// Time a request may take when the caller sets no deadline.
    pub deadline: Duration,
    /// Time a request may wait for a slot before it is refused.
    pub queue_limit: Duration,
    /// Retries of not-run work allowed, in percent of first tries.
    pub retry_percent: u32,
    /// Shortest time told to refused callers.
    pub retry_after: Duration,
    /// Time for which the outcome of an idempotency key is kept.
    pub key_retention: Duration,
    /// Objective: share of requests served, in parts per million.
    pub served_objective_ppm: u32,
    /// Objective: time in which a request is answered.
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

/// Longest span that a key may set, in milliseconds: a day.
const MAX_DURATION_MS: u32 = 86_400_000;

/// One key of a policy: a whole number in a range.
#[derive(Clone, Copy, Debug)]
pub struct PolicyKey {
    /// The key.
    pub name: &'static str,
    /// Unit of its value.
    pub unit: &'static str,
    /// Least value allowed.
    pub min: u32,
    /// Most allowed.
    pub max: u32,
    /// What it is.
    pub description: &'static str,
    get: fn(&Policy) -> u32,
    set: fn(&mut Policy, u32),
}

impl PolicyKey {
    /// Value of this key without an entry.
    pub fn default(&self) -> u32 {
        (self.get)(&Policy::default())
    }

    /// Value of this key in `policy`.
    pub fn value(&self, policy: &Policy) -> u32 {
        (self.get)(policy)
    }

    /// Number that `value` writes, when it is allowed.
    pub fn parse(&self, value: &str) -> Option<u32> {
        // The parser of the standard library would also take a leading plus.
        if !value.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let number: u32 = value.parse().ok()?;
        (self.min..=self.max).contains(&number).then_some(number)
    }

    /// What is allowed, in words.
    pub fn allowed(&self) -> String {
        format!(
            "a whole number from {} to {} ({})",
            self.min, self.max, self.unit
        )
    }
}

/// All keys of a policy, in the order of the pages.
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

/// Why a setting was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetError {
    /// No setting has this key.
    UnknownKey,
    /// The value is out of range; what is allowed, in words.
    BadValue(String),
}

impl Policy {
    /// Sets one key from its written form.
    ///
    /// # Errors
    ///
    /// [`SetError`] when the key is unknown or the value out of range.
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

//! Load of a narrow link, as far as a balancer sees it: the delay that the link adds
//! to agents' replies, and the share of it that searches may use.
//!
//! Without these limits a link with a backlog fills itself. Replies come late, so
//! agents count as silent and every holder is asked for each flow; these queries
//! delay the replies further, and the link stays full after the load has gone.

use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexSet;
use ramp_state::time::Millis;

use super::link_rate::LinkRate;

/// Share of the link that queries and packet copies of searches may use, as a
/// divisor of its rate.
const SEARCH_SHARE_DIVISOR: u32 = 7;

/// Share of the link that packet copies to silent agents may use, as a divisor of
/// its rate.
const COPY_SHARE_DIVISOR: u32 = 20;

/// Longest packet with its frame header, in bytes.
const MAX_PACKET_BYTES: usize = 1280;

/// Time of link use that searches may run ahead of their share.
const SEARCH_BURST: Duration = Duration::from_millis(40);

/// Length of the two periods over which the shortest reply time is kept.
const REPLY_PERIOD: Duration = Duration::from_millis(250);

/// Agents whose replies are needed to take a delay for the link's.
const MIN_AGENTS: usize = 4;

/// Reply time that needs no explanation by the link.
const USUAL_REPLY_TIME: Duration = Duration::from_millis(10);

/// Time for which a delay counts after the last replies that showed it.
const DELAY_TTL: Duration = Duration::from_millis(1000);

/// Longest delay that is taken for the link's.
const MAX_DELAY: Duration = Duration::from_millis(1500);

/// Load of one narrow link.
#[derive(Clone, Debug)]
pub(super) struct LinkLoad {
    rate: LinkRate,
    egress: Backlog,
    /// What searches have sent beyond their share.
    search: Backlog,
    replies: ReplyTimes,
}

impl LinkLoad {
    pub(super) fn new(rate: LinkRate) -> LinkLoad {
        LinkLoad {
            rate,
            egress: Backlog::default(),
            search: Backlog::default(),
            replies: ReplyTimes::default(),
        }
    }

    /// Records the time that the link needs for the datagrams that wait for it.
    pub(super) fn set_backlog(&mut self, now: Millis, backlog: Duration) {
        self.egress = Backlog {
            at: now,
            left: backlog,
        };
    }

    /// Records a datagram that was sent for a search.
    pub(super) fn note_search_sent(&mut self, now: Millis, payload_bytes: usize) {
        let time = self.rate.datagram_time(payload_bytes);
        self.search.add(now, time * SEARCH_SHARE_DIVISOR);
    }

    /// Records the time that an agent took to reply.
    pub(super) fn note_reply(&mut self, now: Millis, agent: Ipv4Addr, after: Duration) {
        self.replies.note(now, agent, after);
    }

    /// Whether searches are within their share.
    pub(super) fn may_search(&self, now: Millis) -> bool {
        self.search.left(now) <= SEARCH_BURST * SEARCH_SHARE_DIVISOR
    }

    /// Number of whole packets a second that the share of packet copies allows.
    pub(super) fn copies_per_s(&self) -> usize {
        let seconds = self.rate.datagram_time(MAX_PACKET_BYTES).as_secs_f64();
        let copies = 1.0 / (seconds * f64::from(COPY_SHARE_DIVISOR));
        (copies as usize).max(1)
    }

    /// Part of a reply time that the link causes: the time that what was sent takes,
    /// and the delay that all agents' replies have in common.
    pub(super) fn delay(&self, now: Millis) -> Duration {
        let common = self.replies.shortest(now).unwrap_or_default();
        let common = common.saturating_sub(USUAL_REPLY_TIME);
        let delay = (self.egress.left(now) + common).min(MAX_DELAY);
        // Whole milliseconds, as the clock: a timeout that ends between two of its
        // values would be due before it is over.
        Duration::from_millis(delay.as_micros().div_ceil(1000) as u64)
    }
}

/// Time that work takes which was added faster than it is done.
#[derive(Clone, Copy, Debug, Default)]
struct Backlog {
    at: Millis,
    left: Duration,
}

impl Backlog {
    fn add(&mut self, now: Millis, time: Duration) {
        self.left = self.left(now) + time;
        self.at = now;
    }

    fn left(&self, now: Millis) -> Duration {
        self.left.saturating_sub(now.since(self.at))
    }
}

/// Shortest reply times of the current and the previous period.
#[derive(Clone, Debug, Default)]
struct ReplyTimes {
    current: ReplyPeriod,
    previous: ReplyPeriod,
    /// The last delay that enough agents have shown, and when.
    shown: Option<(Millis, Duration)>,
}

#[derive(Clone, Debug, Default)]
struct ReplyPeriod {
    started_at: Millis,
    shortest: Option<Duration>,
    /// The first few agents that replied.
    agents: Vec<Ipv4Addr>,
}

impl ReplyTimes {
    fn note(&mut self, now: Millis, agent: Ipv4Addr, after: Duration) {
        if now.since(self.current.started_at) >= REPLY_PERIOD {
            let next = ReplyPeriod {
                started_at: now,
                ..ReplyPeriod::default()
            };
            self.previous = std::mem::replace(&mut self.current, next);
        }
        self.current.note(agent, after);
        let is_recent = now.since(self.previous.started_at) < 2 * REPLY_PERIOD;
        let previous = Some(&self.previous).filter(|_| is_recent);
        let periods = || previous.into_iter().chain([&self.current]);
        let agents: IndexSet<Ipv4Addr> = periods().flat_map(|p| p.agents.clone()).collect();
        let shortest = periods().filter_map(|p| p.shortest).min();
        if let Some(shortest) = shortest.filter(|_| agents.len() >= MIN_AGENTS) {
            self.shown = Some((now, shortest));
        }
    }

    fn shortest(&self, now: Millis) -> Option<Duration> {
        let (at, shortest) = self.shown?;
        (now.since(at) < DELAY_TTL).then_some(shortest)
    }
}

impl ReplyPeriod {
    fn note(&mut self, agent: Ipv4Addr, after: Duration) {
        self.shortest = Some(self.shortest.map_or(after, |s| s.min(after)));
        if self.agents.len() < MIN_AGENTS && !self.agents.contains(&agent) {
            self.agents.push(agent);
        }
    }
}

//! Trials: one failure brought about on a fleet of real processes under load,
//! and the promises judged as a demo judges them.

pub mod figures;
pub mod run;
pub mod scenarios;

use std::fmt;

use crate::demo::plan::Plan;

/// A failure that is brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// An agent is killed.
    AgentKilled,
    /// A balancer is killed.
    BalancerKilled,
    /// A balancer sleeps while a data centre is taken out.
    BalancerFrozenOut,
    /// An agent sleeps and wakes.
    AgentFrozen,
    /// An agent sleeps while its server is set to leaving.
    AgentFrozenLeaving,
    /// The platform goes down just after a data centre was taken out.
    PlatformDownOut,
    /// The platform serves an older version.
    PlatformStale,
    /// A data centre is cut off from the others for a while.
    Partition,
    /// Two publishers publish at once, again and again.
    TwoPublishers,
    /// An agent is killed while the platform is down and a balancer is
    /// replaced.
    TwoAtOnce,
}

impl Scenario {
    /// All of them.
    pub const ALL: [Scenario; 10] = [
        Scenario::AgentKilled,
        Scenario::BalancerKilled,
        Scenario::BalancerFrozenOut,
        Scenario::AgentFrozen,
        Scenario::AgentFrozenLeaving,
        Scenario::PlatformDownOut,
        Scenario::PlatformStale,
        Scenario::Partition,
        Scenario::TwoPublishers,
        Scenario::TwoAtOnce,
    ];

    /// Scenario of this name.
    pub fn by_name(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|s| s.to_string() == name)
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Scenario::AgentKilled => "agent-killed",
            Scenario::BalancerKilled => "balancer-killed",
            Scenario::BalancerFrozenOut => "balancer-frozen-out",
            Scenario::AgentFrozen => "agent-frozen",
            Scenario::AgentFrozenLeaving => "agent-frozen-leaving",
            Scenario::PlatformDownOut => "platform-down-out",
            Scenario::PlatformStale => "platform-stale",
            Scenario::Partition => "partition",
            Scenario::TwoPublishers => "two-publishers",
            Scenario::TwoAtOnce => "two-at-once",
        })
    }
}

/// The fleet of a trial, smaller than a demo's.
pub fn plan() -> Plan {
    let mut plan = Plan::quillfield();
    plan.services[0].servers = 5;
    plan.services[1].servers = 2;
    Plan {
        balancers: 2,
        feeds: 60,
        claims_per_s: 20,
        uploads_per_s: 3,
        balances_per_s: 20,
        warm_after: 3,
        ..plan
    }
}

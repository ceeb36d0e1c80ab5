//! Trials: each injects one failure into a fleet of real processes under load,
//! then checks the recorded histories against the invariants, as the demo does.

pub mod figures;
pub mod run;
pub mod scenarios;

use std::fmt;

use crate::demo::plan::Plan;

/// A failure to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// An agent is killed.
    AgentKilled,
    /// A balancer is killed.
    BalancerKilled,
    /// A balancer is frozen while a data centre is taken out, then resumed.
    BalancerFrozenOut,
    /// An agent is frozen for a few seconds, then resumed.
    AgentFrozen,
    /// An agent is frozen while its server is set to leaving, then resumed.
    AgentFrozenLeaving,
    /// The platform goes down just after a data centre is taken out, and a
    /// balancer restarts.
    PlatformDownOut,
    /// The platform serves an older version, and a balancer restarts.
    PlatformStale,
    /// The network between one data centre and the others fails for a few
    /// seconds.
    Partition,
    /// Two publishers repeatedly publish at the same time.
    TwoPublishers,
    /// An agent is killed while the platform is down and a balancer is
    /// replaced.
    TwoAtOnce,
}

impl Scenario {
    /// All scenarios, in the order of the variants.
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

    /// Scenario with this name on the command line.
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

/// Fleet and load of a trial, smaller than those of a demo.
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

//! What a demo runs: the sizes of its user.

use std::time::Duration;

/// A service and how many servers it has.
#[derive(Clone, Copy, Debug)]
pub struct ServicePlan {
    /// Its name.
    pub name: &'static str,
    /// Address that callers use.
    pub address: &'static str,
    /// Backend servers.
    pub servers: usize,
}

/// Sizes, delays and load of one demo.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the user.
    pub name: &'static str,
    /// Region of all data centres.
    pub region: &'static str,
    /// Data centres; the second is taken out.
    pub data_centres: [&'static str; 3],
    /// Services: feeds, claims and balances go to the first, uploads to the
    /// last.
    pub services: [ServicePlan; 2],
    /// Balancers in use at once.
    pub balancers: usize,
    /// Requests that a warm server runs at once.
    pub slots: u32,
    /// Connections that a server holds.
    pub connections: u32,
    /// Time from callers to a data centre, one way, in milliseconds.
    pub caller_delay_ms: f64,
    /// Time between two data centres, one way, in milliseconds.
    pub data_centre_delay_ms: f64,
    /// Share of packets lost between callers and the fleet.
    pub packet_loss: f64,
    /// Feeds open at once.
    pub feeds: u32,
    /// Claims each second.
    pub claims_per_s: u32,
    /// Uploads each second.
    pub uploads_per_s: u32,
    /// Balances each second.
    pub balances_per_s: u32,
    /// Time that a request takes at a server, in milliseconds.
    pub service_time_ms: u32,
    /// Finished requests after which a cold server is warm.
    pub warm_after: u32,
}

/// When the changes of a demo happen, from the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// Servers are warm and feeds are opened.
    pub open_feeds: Duration,
    /// A data centre is taken out.
    pub data_centre_out: Duration,
    /// It is brought back.
    pub data_centre_back: Duration,
    /// A server is drained.
    pub drain_server: Duration,
    /// A balancer is replaced.
    pub replace_balancer: Duration,
    /// The load ends.
    pub end: Duration,
}

impl Timeline {
    /// Spreads the changes over `span`.
    pub fn for_load(duration: Duration) -> Timeline {
        Timeline {
            open_feeds: duration.mul_f64(0.08),
            data_centre_out: duration.mul_f64(0.2),
            data_centre_back: duration.mul_f64(0.4),
            drain_server: duration.mul_f64(0.5),
            replace_balancer: duration.mul_f64(0.6),
            end: duration,
        }
    }
}

impl Plan {
    /// Quillfield Levy Partners.
    pub fn quillfield() -> Plan {
        Plan {
            name: "quillfield",
            region: "new-england",
            data_centres: ["boston", "hartford", "providence"],
            services: [
                ServicePlan {
                    name: "ledger",
                    address: "198.18.0.1:80",
                    servers: 7,
                },
                ServicePlan {
                    name: "intake",
                    address: "198.18.0.2:80",
                    servers: 3,
                },
            ],
            balancers: 3,
            slots: 5,
            connections: 2000,
            caller_delay_ms: 1.0,
            data_centre_delay_ms: 1.5,
            packet_loss: 0.001,
            feeds: 400,
            claims_per_s: 60,
            uploads_per_s: 5,
            balances_per_s: 80,
            service_time_ms: 20,
            warm_after: 15,
        }
    }

    /// The Helvetia Dues Centre.
    pub fn helvetia() -> Plan {
        Plan {
            name: "helvetia",
            region: "helvetia",
            data_centres: ["basel", "bern", "zurich"],
            services: [
                ServicePlan {
                    name: "members",
                    address: "198.18.1.1:80",
                    servers: 7,
                },
                ServicePlan {
                    name: "payroll",
                    address: "198.18.1.2:80",
                    servers: 3,
                },
            ],
            slots: 4,
            caller_delay_ms: 3.0,
            data_centre_delay_ms: 1.0,
            warm_after: 12,
            ..Plan::quillfield()
        }
    }

    /// Plan of this name.
    pub fn by_name(name: &str) -> Option<Plan> {
        [Plan::quillfield(), Plan::helvetia()]
            .into_iter()
            .find(|plan| plan.name == name)
    }
}

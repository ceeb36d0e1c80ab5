//! Parameters of a demo: sizes of the fleet, network faults, load, and the times
//! of the planned changes. There is one plan for each user of the system.

use std::time::Duration;

/// A service and its number of servers.
#[derive(Clone, Copy, Debug)]
pub struct ServicePlan {
    /// Service name; its servers are `NAME-1`, `NAME-2` and so on.
    pub name: &'static str,
    /// IP address and port that callers connect to.
    pub address: &'static str,
    /// Number of backend servers.
    pub servers: usize,
}

/// Sizes, delays and load of one user's demo.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the user, as given on the command line.
    pub name: &'static str,
    /// Region of all data centres.
    pub region: &'static str,
    /// Data centres; the demo takes the second one out.
    pub data_centres: [&'static str; 3],
    /// Services: feeds, claims and balances go to the first, uploads to the
    /// last.
    pub services: [ServicePlan; 2],
    /// Balancers in use at once; one more is started as a replacement.
    pub balancers: usize,
    /// Requests that a warm server processes at once.
    pub slots: u32,
    /// Connections that a server accepts at once.
    pub connections: u32,
    /// One-way delay between callers and a data centre, in milliseconds.
    pub caller_delay_ms: f64,
    /// One-way delay between two data centres, in milliseconds.
    pub data_centre_delay_ms: f64,
    /// Fraction of packets lost between callers and the fleet, 0 to 1.
    pub packet_loss: f64,
    /// Feeds (long-lived responses) that callers keep open.
    pub feeds: u32,
    /// Claim requests per second.
    pub claims_per_s: u32,
    /// Uploads per second.
    pub uploads_per_s: u32,
    /// Balance requests per second.
    pub balances_per_s: u32,
    /// Processing time of a request at a server, in milliseconds.
    pub service_time_ms: u32,
    /// Finished requests after which a cold server is warm.
    pub warm_after: u32,
}

/// Times of a demo's changes, counted from the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// The warm-up of the servers ends and the feeds are opened.
    pub open_feeds: Duration,
    /// A data centre is taken out of service.
    pub take_data_centre_out: Duration,
    /// That data centre is brought back into service.
    pub bring_data_centre_back: Duration,
    /// A server is drained.
    pub drain_server: Duration,
    /// A balancer is replaced.
    pub replace_balancer: Duration,
    /// The load ends.
    pub end: Duration,
}

impl Timeline {
    /// Times of the changes for a load of this duration.
    pub fn for_load(duration: Duration) -> Timeline {
        Timeline {
            open_feeds: duration.mul_f64(0.08),
            take_data_centre_out: duration.mul_f64(0.2),
            bring_data_centre_back: duration.mul_f64(0.4),
            drain_server: duration.mul_f64(0.5),
            replace_balancer: duration.mul_f64(0.6),
            end: duration,
        }
    }
}

impl Plan {
    /// Plan of the user Quillfield Levy Partners.
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

    /// Plan of the user Helvetia Dues Centre.
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

    /// Plan of the user with this name.
    pub fn by_name(name: &str) -> Option<Plan> {
        [Plan::quillfield(), Plan::helvetia()]
            .into_iter()
            .find(|plan| plan.name == name)
    }
}

//! Verdict on a request: whether it was served and, if not, whether it may have
//! run; and the HTTP headers that carry it.
//!
//! A request is `NotRun` only when it is certain that no byte of it reached a
//! backend server. All other failures are `MayHaveRun`.

use std::fmt;

use quick_error::quick_error;

quick_error! {
    /// Why a request was refused before any byte reached a backend server.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum NotRun {
        /// All slots of the eligible backend servers are in use.
        Overloaded {
            display("every backend server that could take it is busy")
        }
        /// The eligible backend servers are in cold start and at their limit.
        Cold {
            display("backend servers in cold start take no more for now")
        }
        /// The backend server is leaving and no other one could take the
        /// request.
        Leaving {
            display("the backend server is leaving")
        }
        /// No backend server of the service can be reached.
        NoServer {
            display("no backend server of the service can be reached")
        }
        /// The deadline passed before the request was sent.
        DeadlinePassed {
            display("the deadline passed before the request was sent")
        }
        /// The retry budget is exhausted.
        RetryBudgetSpent {
            display("the retry budget is spent")
        }
        /// The request is malformed.
        BadRequest {
            display("the request is malformed")
        }
        /// Another request with the same idempotency key is still running.
        KeyRunning {
            display("a request with the same idempotency key is still running")
        }
        /// The backend server refused the request and stated that it did not run.
        ServerRefused {
            display("the backend server refused it")
        }
        /// The caller disconnected before the request was sent.
        CallerLeft {
            display("the caller went away before the request was sent")
        }
        /// The data centre was taken out of service before the request was sent.
        DataCentreOut {
            display("the data centre was taken out")
        }
    }
}

quick_error! {
    /// Why a request that was sent has no complete response.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum MayHaveRun {
        /// The connection to the backend server broke.
        ServerLost {
            display("the connection to the backend server broke")
        }
        /// The deadline passed while the backend server processed the request.
        DeadlinePassed {
            display("the deadline passed while it ran")
        }
        /// The caller disconnected while the request ran.
        CallerLeft {
            display("the caller went away while it ran")
        }
        /// The drain limit passed while the request ran.
        DrainLimitPassed {
            display("the drain limit passed while it ran")
        }
        /// The data centre was taken out of service while the request ran.
        DataCentreOut {
            display("the data centre was taken out while it ran")
        }
        /// No live agent knows the outcome for the idempotency key.
        KeyUnknown {
            display("what became of the idempotency key is not known")
        }
        /// Another request with the same idempotency key is still running.
        KeyRunning {
            display("a request with the same idempotency key is still running")
        }
        /// The agent that forwarded the request lost the connection to the agent
        /// that it forwarded it to.
        PeerLost {
            display("the connection to the other agent broke")
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The complete response of the backend server was sent to the caller.
    Served,
    /// No byte of the request reached a backend server. It may be retried
    /// elsewhere.
    NotRun(NotRun),
    /// The request may have run. It must not be retried unless it is idempotent.
    MayHaveRun(MayHaveRun),
}

impl Verdict {
    /// Value of the verdict header in a response.
    pub fn as_header(&self) -> &'static str {
        match self {
            Verdict::Served => "served",
            Verdict::NotRun(_) => "not-run",
            Verdict::MayHaveRun(_) => "may-have-run",
        }
    }
}

impl NotRun {
    /// Every reason.
    pub const ALL: [NotRun; 11] = [
        NotRun::Overloaded,
        NotRun::Cold,
        NotRun::Leaving,
        NotRun::NoServer,
        NotRun::DeadlinePassed,
        NotRun::RetryBudgetSpent,
        NotRun::BadRequest,
        NotRun::KeyRunning,
        NotRun::ServerRefused,
        NotRun::CallerLeft,
        NotRun::DataCentreOut,
    ];
}

impl MayHaveRun {
    /// Every reason.
    pub const ALL: [MayHaveRun; 8] = [
        MayHaveRun::ServerLost,
        MayHaveRun::DeadlinePassed,
        MayHaveRun::CallerLeft,
        MayHaveRun::DrainLimitPassed,
        MayHaveRun::DataCentreOut,
        MayHaveRun::KeyUnknown,
        MayHaveRun::KeyRunning,
        MayHaveRun::PeerLost,
    ];
}

impl Verdict {
    /// Parses the verdict header and the reason header of a response. An unknown
    /// reason is replaced by the most general one of its verdict; `None` when
    /// the verdict is unknown.
    pub fn from_headers(verdict: &str, reason: &str) -> Option<Verdict> {
        match verdict {
            "served" => Some(Verdict::Served),
            "not-run" => {
                let known = NotRun::ALL.into_iter().find(|r| r.to_string() == reason);
                Some(Verdict::NotRun(known.unwrap_or(NotRun::NoServer)))
            }
            "may-have-run" => {
                let known = MayHaveRun::ALL
                    .into_iter()
                    .find(|r| r.to_string() == reason);
                Some(Verdict::MayHaveRun(known.unwrap_or(MayHaveRun::ServerLost)))
            }
            _ => None,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Served => write!(f, "served"),
            Verdict::NotRun(reason) => write!(f, "not run: {reason}"),
            Verdict::MayHaveRun(reason) => write!(f, "may have run: {reason}"),
        }
    }
}

/// Response header with the verdict: `served`, `not-run` or `may-have-run`.
pub const VERDICT_HEADER: &str = "bramleyramp-verdict";

/// Response header with the reason of the verdict, as displayed.
pub const REASON_HEADER: &str = "bramleyramp-reason";

/// Request header with the deadline of the caller, in milliseconds.
pub const DEADLINE_HEADER: &str = "bramleyramp-deadline-ms";

/// Request header with the idempotency key, which identifies retries of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

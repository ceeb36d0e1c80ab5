//! The verdict on a request: whether it was served, and if not, whether it
//! may have run.
//!
//! `NotRun` is only ever said when no byte of the request reached a backend
//! server. Whatever is not known is `MayHaveRun`.

use std::fmt;

use quick_error::quick_error;

quick_error! {
    /// Why a request was refused before any byte reached a backend server.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum NotRun {
        /// Every slot that could take it is in use.
        Overloaded {
            display("every backend server that could take it is busy")
        }
        /// Servers in cold start take no more for now.
        Cold {
            display("backend servers in cold start take no more for now")
        }
        /// The server is leaving and no other could take it.
        Leaving {
            display("the backend server is leaving")
        }
        /// No backend server of the service can be reached.
        NoServer {
            display("no backend server of the service can be reached")
        }
        /// The deadline passed before it was sent.
        DeadlinePassed {
            display("the deadline passed before the request was sent")
        }
        /// The retry budget is spent.
        RetryBudgetSpent {
            display("the retry budget is spent")
        }
        /// The request can't be understood.
        BadRequest {
            display("the request is malformed")
        }
        /// Another request with the same idempotency key is still running.
        KeyRunning {
            display("a request with the same idempotency key is still running")
        }
        /// The backend server refused it and said that it did not run.
        ServerRefused {
            display("the backend server refused it")
        }
        /// The caller went away before it was sent.
        CallerLeft {
            display("the caller went away before the request was sent")
        }
        /// The data centre was taken out before it was sent.
        DataCentreOut {
            display("the data centre was taken out")
        }
    }
}

quick_error! {
    /// Why a request that was sent has no whole answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    pub enum MayHaveRun {
        /// The connection to the backend server broke.
        ServerLost {
            display("the connection to the backend server broke")
        }
        /// The deadline passed while the backend server worked on it.
        DeadlinePassed {
            display("the deadline passed while it ran")
        }
        /// The caller went away while it ran.
        CallerLeft {
            display("the caller went away while it ran")
        }
        /// The drain limit passed while it ran.
        DrainLimitPassed {
            display("the drain limit passed while it ran")
        }
        /// The data centre was taken out while it ran.
        DataCentreOut {
            display("the data centre was taken out while it ran")
        }
        /// Nobody who is alive knows what became of the idempotency key.
        KeyUnknown {
            display("what became of the idempotency key is not known")
        }
        /// Another request with the same idempotency key is still running.
        KeyRunning {
            display("a request with the same idempotency key is still running")
        }
        /// The agent that handed it on lost the agent that took it.
        PeerLost {
            display("the connection to the other agent broke")
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The whole answer of the backend server went to the caller.
    Served,
    /// No byte of it reached a backend server. May be tried elsewhere.
    NotRun(NotRun),
    /// It may have run. Must not be sent again unless idempotent.
    MayHaveRun(MayHaveRun),
}

impl Verdict {
    /// Value of the verdict header in an answer.
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
    /// Reads the verdict header and the reason header of an answer. A reason
    /// that this program does not know is taken for the most general one of
    /// its verdict; nothing when the verdict itself is not known.
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

/// Name of the header that carries the verdict to the caller.
pub const VERDICT_HEADER: &str = "bramleyramp-verdict";

/// Name of the header that carries the reason of a verdict, in words.
pub const REASON_HEADER: &str = "bramleyramp-reason";

/// Name of the header by which a caller states its deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "bramleyramp-deadline-ms";

/// Name of the header by which a caller names its request for retries.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

//! One request, from its head to its end.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use ramp_state::key::InstanceId;
use ramp_state::outcome::Outcome;
use ramp_state::outcome::Record;
use ramp_state::time::Millis;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::body::AnswerBody;
use super::body::Relay;
use super::context::RequestContext;
use super::handoff;
use super::head;
use super::head::Head;
use super::refusal::refuse;
use super::upstream::Upstream;

/// Who a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller, on its own flow.
    Caller(SocketAddrV4),
    /// Another agent, which keeps the caller's flow and the record.
    Peer(InstanceId),
}

/// Serves one request.
pub async fn serve(
    cx: Rc<RequestContext>,
    origin: Origin,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut progress = RequestInProgress::begin(cx.clone(), origin);
    let (mut parts, body) = req.into_parts();
    let Some(found) = Head::read(&parts) else {
        return progress.refuse(Verdict::NotRun(NotRun::BadRequest));
    };
    let span = found.deadline.unwrap_or(cx.policy().deadline);
    let deadline = Instant::now() + span;
    handoff::strip(&mut parts.headers);
    head::pass_on(&mut parts);
    head::state_deadline(&mut parts.headers, span);
    let mut upstream = Upstream::new();
    let sent = async {
        let stream = Upstream::connect(cx.cfg.backend_server)
            .await
            .map_err(|_| Verdict::NotRun(NotRun::NoServer))?;
        progress.server = Some(cx.cfg.me);
        let req = Request::from_parts(parts, body);
        let res = upstream.send(stream, req).await;
        res.map_err(|fault| verdict_of_loss(fault.written))
    };
    let res = match timeout_at(deadline, sent).await {
        Ok(Ok(res)) => res,
        Ok(Err(verdict)) => return progress.refuse(verdict),
        Err(_) => return progress.refuse(verdict_of_deadline(upstream.written())),
    };
    let (mut parts, body) = res.into_parts();
    head::pass_back(&mut parts.headers);
    let relay = Relay::new(body, progress, upstream);
    Response::from_parts(parts, AnswerBody::Relayed(relay))
}

fn verdict_of_loss(written: bool) -> Verdict {
    if written {
        Verdict::MayHaveRun(MayHaveRun::ServerLost)
    } else {
        Verdict::NotRun(NotRun::NoServer)
    }
}

fn verdict_of_deadline(written: bool) -> Verdict {
    if written {
        Verdict::MayHaveRun(MayHaveRun::DeadlinePassed)
    } else {
        Verdict::NotRun(NotRun::DeadlinePassed)
    }
}

/// A request that has begun. It ends once, by [`RequestInProgress::end`] or
/// by being dropped because the caller went away.
pub struct RequestInProgress {
    cx: Rc<RequestContext>,
    origin: Origin,
    began: Millis,
    server: Option<InstanceId>,
    ended: bool,
}

impl RequestInProgress {
    fn begin(cx: Rc<RequestContext>, origin: Origin) -> RequestInProgress {
        cx.request_began();
        RequestInProgress {
            began: cx.now(),
            cx,
            origin,
            server: None,
            ended: false,
        }
    }

    /// Ends the request; only the first call counts.
    pub fn end(&mut self, verdict: Verdict) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.cx.request_ended();
        let took = self.cx.now().since(self.began);
        self.record(verdict, took);
    }

    fn refuse(mut self, verdict: Verdict) -> Response<AnswerBody> {
        self.end(verdict);
        let retry_after = match verdict {
            Verdict::NotRun(NotRun::BadRequest) => None,
            Verdict::NotRun(_) => Some(self.cx.policy().retry_after),
            Verdict::Served | Verdict::MayHaveRun(_) => None,
        };
        refuse(verdict, retry_after)
    }

    /// The agent that keeps the flow records the request, nobody else.
    fn record(&self, verdict: Verdict, took: Duration) {
        let Origin::Caller(caller) = self.origin else {
            return;
        };
        self.cx.record(Record {
            caller,
            service: self.cx.cfg.service,
            server: self.server,
            outcome: Outcome::Request { verdict, took },
        });
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.end(Verdict::MayHaveRun(MayHaveRun::CallerLeft));
    }
}

//! Sends a request to the agent's own backend server and reports to the router
//! what its response, or the lack of one, shows about the server.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use ramp_coordination::concurrency_limit::RequestOutcome;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::active_request::ActiveRequest;
use super::active_request::TryOutcome;
use super::guards::PermitGuard;
use super::head;
use super::request_body::SendState;
use super::response_body::RelayedBody;
use super::response_body::ResponseBody;
use super::upstream::Upstream;

/// Header with which a backend server confirms that it did not run a request
/// that it answers with 503.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Timeout for connecting to the backend server, which is close to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the request to the agent's own backend server.
pub async fn send_to_backend(mut active: ActiveRequest, mut permit: PermitGuard) -> TryOutcome {
    active.pending.tried.push(active.cx.cfg.me);
    let deadline = active.deadline();
    let connect_by = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connect = Upstream::connect(active.cx.cfg.backend_server);
    let Ok(Ok(stream)) = timeout_at(connect_by, connect).await else {
        permit.record_outcome(RequestOutcome::ConnectFailed);
        return TryOutcome::not_run(active, NotRun::NoServer);
    };
    if let Some(expiry) = active.expiry() {
        return active.end_expired(expiry);
    }
    let head = active.head();
    let Some((body, send_state)) = active.request_body.take() else {
        return TryOutcome::not_run(active, NotRun::NoServer);
    };
    if matches!(send_state.get(), SendState::Complete(_)) {
        permit.on_sent();
    }
    let written = active.guard.begin_send(active.cx.cfg.me);
    let mut upstream = Upstream::new(written);
    let req = Request::from_parts(head, body);
    let res = match timeout_at(deadline, upstream.send(stream, req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(_)) => {
            permit.record_outcome(outcome_of_error(send_state.get()));
            return active.end_without_response(MayHaveRun::ServerLost, NotRun::NoServer);
        }
        Err(_) => {
            return active.end_without_response(MayHaveRun::DeadlinePassed, NotRun::DeadlinePassed);
        }
    };
    let is_feed = active.pending.feed && head::is_event_stream(res.headers());
    permit.record_outcome(if is_feed {
        RequestOutcome::FeedOpened
    } else {
        outcome_of_response(&res, send_state.get())
    });
    if did_not_run(&res) {
        drop(permit);
        return TryOutcome::not_run(active, NotRun::ServerRefused);
    }
    let permit = if is_feed {
        release_slot(permit)
    } else {
        permit
    };
    if is_feed {
        active.guard.on_feed_opened();
    }
    let (mut parts, body) = res.into_parts();
    head::prepare_response(&mut parts.headers);
    let relay = RelayedBody {
        body,
        guard: active.guard,
        permit: Some(permit),
        error_reason: MayHaveRun::ServerLost,
        is_feed,
        deadline: (!is_feed).then(|| Box::pin(sleep_until(deadline))),
        forward_guard: None,
        _upstream: upstream,
    };
    let body = ResponseBody::Relayed(Box::new(relay));
    TryOutcome::Responded(Response::from_parts(parts, body))
}

fn release_slot(mut permit: PermitGuard) -> PermitGuard {
    permit.on_feed_answered();
    permit
}

fn did_not_run(res: &Response<Incoming>) -> bool {
    let says_so = |headers: &HeaderMap| headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "1");
    res.status() == StatusCode::SERVICE_UNAVAILABLE && says_so(res.headers())
}

fn outcome_of_response(res: &Response<Incoming>, send_state: SendState) -> RequestOutcome {
    match (res.status(), send_state) {
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => {
            RequestOutcome::Refused
        }
        (_, SendState::Complete(at)) => RequestOutcome::Answered(at.elapsed()),
        // The server responded before the whole request had been sent, so its
        // response time is not known.
        (_, SendState::Partial | SendState::Aborted) => RequestOutcome::Inconclusive,
    }
}

/// Outcome of a request whose connection failed. It shows nothing about the
/// server if the caller's connection failed first.
fn outcome_of_error(send_state: SendState) -> RequestOutcome {
    match send_state {
        SendState::Aborted => RequestOutcome::Inconclusive,
        SendState::Partial | SendState::Complete(_) => RequestOutcome::ConnectionLost,
    }
}

//! A request at the agent's own backend server.

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

use super::body::AnswerBody;
use super::body::Relay;
use super::head;
use super::job::Job;
use super::job::Tried;
use super::progress::Held;
use super::send_body::Sent;
use super::upstream::Upstream;

/// By this header a backend server says that it did not run what it refuses.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Longest time to connect to the backend server, which is near.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Sends the request to the agent's own backend server.
pub async fn run_here(mut job: Job, mut held: Held) -> Tried {
    job.ask.tried.push(job.cx.cfg.me);
    let deadline = job.deadline();
    let connect_by = deadline.min(Instant::now() + CONNECT_LIMIT);
    let connect = Upstream::connect(job.cx.cfg.backend_server);
    let Ok(Ok(stream)) = timeout_at(connect_by, connect).await else {
        held.learn(RequestOutcome::ConnectFailed);
        return Tried::not_run(job, NotRun::NoServer);
    };
    if let Some(stale) = job.is_stale() {
        return job.give_up(stale);
    }
    let head = job.head();
    let Some((body, sent)) = job.payload.take() else {
        return Tried::not_run(job, NotRun::NoServer);
    };
    if matches!(sent.get(), Sent::Whole(_)) {
        held.awaits();
    }
    let written = job.progress.sending_to(job.cx.cfg.me);
    let mut upstream = Upstream::new(written);
    let req = Request::from_parts(head, body);
    let res = match timeout_at(deadline, upstream.send(stream, req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(_)) => {
            held.learn(sign_of_loss(sent.get()));
            return job.lost(MayHaveRun::ServerLost, NotRun::NoServer);
        }
        Err(_) => return job.lost(MayHaveRun::DeadlinePassed, NotRun::DeadlinePassed),
    };
    let is_feed = job.ask.feed && head::is_event_stream(res.headers());
    held.learn(if is_feed {
        RequestOutcome::FeedOpened
    } else {
        sign_of_answer(&res, sent.get())
    });
    if did_not_run(&res) {
        drop(held);
        return Tried::not_run(job, NotRun::ServerRefused);
    }
    let held = if is_feed { hold_connection(held) } else { held };
    if is_feed {
        job.progress.feed_opened();
    }
    let (mut parts, body) = res.into_parts();
    head::pass_back(&mut parts.headers);
    let relay = Relay {
        body,
        progress: job.progress,
        held: Some(held),
        loss: MayHaveRun::ServerLost,
        is_feed,
        deadline: (!is_feed).then(|| Box::pin(sleep_until(deadline))),
        visit: None,
        _upstream: upstream,
    };
    let body = AnswerBody::Relayed(Box::new(relay));
    Tried::Answered(Response::from_parts(parts, body))
}

fn hold_connection(mut held: Held) -> Held {
    held.feed_answered();
    held
}

fn did_not_run(res: &Response<Incoming>) -> bool {
    let says_so = |headers: &HeaderMap| headers.get(NOT_RUN_HEADER).is_some_and(|v| v == "1");
    res.status() == StatusCode::SERVICE_UNAVAILABLE && says_so(res.headers())
}

fn sign_of_answer(res: &Response<Incoming>, sent: Sent) -> RequestOutcome {
    match (res.status(), sent) {
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => {
            RequestOutcome::Refused
        }
        (_, Sent::Whole(at)) => RequestOutcome::Answered(at.elapsed()),
        // Answered before the request was over; its time says nothing.
        (_, Sent::Partly | Sent::BrokenOff) => RequestOutcome::Inconclusive,
    }
}

/// A request that its own sender broke off says nothing about the server.
fn sign_of_loss(sent: Sent) -> RequestOutcome {
    match sent {
        Sent::BrokenOff => RequestOutcome::Inconclusive,
        Sent::Partly | Sent::Whole(_) => RequestOutcome::ConnectionLost,
    }
}

//! Forwards a request to another agent of the group.
//!
//! The other agent sends the request to its own backend server and never
//! forwards it again. It either relays the server's response or states a
//! verdict.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use ramp_state::key::InstanceId;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::REASON_HEADER;
use ramp_state::verdict::VERDICT_HEADER;
use ramp_state::verdict::Verdict;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::active_request::ActiveRequest;
use super::active_request::TryOutcome;
use super::forward_guard::ForwardGuard;
use super::head;
use super::peer_auth;
use super::peer_auth::CHALLENGE_LEN_BYTES;
use super::peer_auth::Challenge;
use super::response_body::RelayedBody;
use super::response_body::ResponseBody;
use super::upstream::Upstream;

/// Timeout for connecting to another agent and receiving its challenge.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Forwards the request to the agent `to`.
pub async fn forward(mut active: ActiveRequest, to: InstanceId) -> TryOutcome {
    active.pending.tried.push(to);
    let forward_guard = ForwardGuard::new(active.cx.clone(), to);
    let deadline = active.deadline();
    let connect_by = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let Some(address) = active.cx.address_of(to) else {
        forward_guard.on_refused();
        return TryOutcome::not_run(active, NotRun::NoServer);
    };
    let Ok(Ok((stream, challenge))) = timeout_at(connect_by, connect(address)).await else {
        forward_guard.on_refused();
        return TryOutcome::not_run(active, NotRun::NoServer);
    };
    if let Some(expiry) = active.expiry() {
        return active.end_expired(expiry);
    }
    let mut head = active.head();
    peer_auth::sign(
        &active.cx.cfg.key,
        challenge,
        active.cx.cfg.me,
        to,
        &mut head,
    );
    let Some((body, _)) = active.request_body.take() else {
        return TryOutcome::not_run(active, NotRun::NoServer);
    };
    let written = active.guard.begin_send(to);
    let mut upstream = Upstream::new(written);
    let req = Request::from_parts(head, body);
    let res = match timeout_at(deadline, upstream.send(stream, req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(_)) => return active.end_without_response(MayHaveRun::PeerLost, NotRun::NoServer),
        Err(_) => {
            return active.end_without_response(MayHaveRun::DeadlinePassed, NotRun::DeadlinePassed);
        }
    };
    match stated_verdict(&res) {
        Some(Verdict::NotRun(reason)) => {
            forward_guard.on_refused();
            return TryOutcome::not_run(active, reason);
        }
        Some(verdict) => return TryOutcome::Responded(active.respond(verdict)),
        None => {}
    }
    let is_feed = active.pending.feed && head::is_event_stream(res.headers());
    if is_feed {
        active.guard.on_feed_opened();
    }
    let (mut parts, body) = res.into_parts();
    head::prepare_response(&mut parts.headers);
    let relay = RelayedBody {
        body,
        guard: active.guard,
        permit: None,
        error_reason: MayHaveRun::PeerLost,
        is_feed,
        deadline: (!is_feed).then(|| Box::pin(sleep_until(deadline))),
        forward_guard: Some(forward_guard),
        _upstream: upstream,
    };
    let body = ResponseBody::Relayed(Box::new(relay));
    TryOutcome::Responded(Response::from_parts(parts, body))
}

async fn connect(address: SocketAddrV4) -> io::Result<(TcpStream, Challenge)> {
    let mut stream = Upstream::connect(address).await?;
    let mut challenge = [0; CHALLENGE_LEN_BYTES];
    stream.read_exact(&mut challenge).await?;
    Ok((stream, Challenge(challenge)))
}

/// Verdict that the other agent states; `None` when it relays a response of its
/// backend server.
fn stated_verdict(res: &Response<Incoming>) -> Option<Verdict> {
    let text = |name| res.headers().get(name).and_then(|v| v.to_str().ok());
    let reason = text(REASON_HEADER).unwrap_or_default();
    Verdict::from_headers(text(VERDICT_HEADER)?, reason)
}

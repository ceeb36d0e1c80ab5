//! A request at another agent of the group.

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

use super::body::AnswerBody;
use super::body::Relay;
use super::handoff;
use super::handoff::CHALLENGE_LEN_BYTES;
use super::handoff::Challenge;
use super::head;
use super::job::Job;
use super::job::Tried;
use super::upstream::Upstream;
use super::visit::Visit;

/// Longest time to connect to another agent and to hear its challenge.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Hands the request to the agent `to`.
pub async fn hand_on(mut job: Job, to: InstanceId) -> Tried {
    job.ask.tried.push(to);
    let visit = Visit::new(job.cx.clone(), to);
    let deadline = job.deadline();
    let connect_by = deadline.min(Instant::now() + CONNECT_LIMIT);
    let Some(address) = job.cx.address_of(to) else {
        visit.refused();
        return Tried::not_run(job, NotRun::NoServer);
    };
    let Ok(Ok((stream, challenge))) = timeout_at(connect_by, connect(address)).await else {
        visit.refused();
        return Tried::not_run(job, NotRun::NoServer);
    };
    if let Some(stale) = job.is_stale() {
        return job.give_up(stale);
    }
    let mut head = job.head();
    handoff::sign(&job.cx.cfg.key, challenge, job.cx.cfg.me, to, &mut head);
    let Some((body, _)) = job.payload.take() else {
        return Tried::not_run(job, NotRun::NoServer);
    };
    let written = job.progress.sending_to(to);
    let mut upstream = Upstream::new(written);
    let req = Request::from_parts(head, body);
    let res = match timeout_at(deadline, upstream.send(stream, req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(_)) => return job.lost(MayHaveRun::PeerLost, NotRun::NoServer),
        Err(_) => return job.lost(MayHaveRun::DeadlinePassed, NotRun::DeadlinePassed),
    };
    match verdict(&res) {
        Some(Verdict::NotRun(reason)) => {
            visit.refused();
            return Tried::not_run(job, reason);
        }
        Some(verdict) => return Tried::Answered(job.answer(verdict)),
        None => {}
    }
    let is_feed = job.ask.feed && head::is_event_stream(res.headers());
    if is_feed {
        job.progress.feed_opened();
    }
    let (mut parts, body) = res.into_parts();
    head::pass_back(&mut parts.headers);
    let relay = Relay {
        body,
        progress: job.progress,
        held: None,
        loss: MayHaveRun::PeerLost,
        is_feed,
        deadline: (!is_feed).then(|| Box::pin(sleep_until(deadline))),
        visit: Some(visit),
        _upstream: upstream,
    };
    let body = AnswerBody::Relayed(Box::new(relay));
    Tried::Answered(Response::from_parts(parts, body))
}

async fn connect(address: SocketAddrV4) -> io::Result<(TcpStream, Challenge)> {
    let mut stream = Upstream::connect(address).await?;
    let mut challenge = [0; CHALLENGE_LEN_BYTES];
    stream.read_exact(&mut challenge).await?;
    Ok((stream, Challenge(challenge)))
}

/// Verdict that the other agent states; nothing when it relays an answer.
fn verdict(res: &Response<Incoming>) -> Option<Verdict> {
    let text = |name| res.headers().get(name).and_then(|v| v.to_str().ok());
    let reason = text(REASON_HEADER).unwrap_or_default();
    Verdict::from_headers(text(VERDICT_HEADER)?, reason)
}

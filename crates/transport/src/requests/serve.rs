//! Serves one request, from a caller or from another agent.
//!
//! Reads the head and a short body, claims the idempotency key if there is one,
//! and then carries out the actions that the request router returns until the
//! request has a response.

use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use ramp_coordination::claims::Decision;
use ramp_coordination::request_router::Action;
use ramp_coordination::request_router::PendingRequest;
use ramp_state::time::Millis;
use ramp_state::verdict::NotRun;
use ramp_state::verdict::Verdict;
use tokio::time::timeout;

use super::active_request::ActiveRequest;
use super::active_request::TryOutcome;
use super::backend::send_to_backend;
use super::claim::Claim;
use super::claim::wait_for_decision;
use super::context::RequestContext;
use super::forward::forward;
use super::guards::Origin;
use super::guards::PermitGuard;
use super::guards::QueueGuard;
use super::guards::RequestGuard;
use super::head;
use super::head::RequestHead;
use super::request_body::RequestBody;
use super::response_body::ResponseBody;

/// Serves one request and returns its response, whose body may still be
/// streaming.
pub async fn serve(
    cx: Rc<RequestContext>,
    origin: Origin,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let guard = RequestGuard::begin(cx.clone(), origin);
    let (mut parts, body) = req.into_parts();
    let Some(request_head) = RequestHead::read(&parts) else {
        return guard.respond(Verdict::NotRun(NotRun::BadRequest));
    };
    let time_limit = request_head.deadline.unwrap_or(cx.policy().deadline);
    let deadline = cx.now() + time_limit;
    let request_body = match timeout(time_limit, RequestBody::read(body)).await {
        Ok(Ok(request_body)) => request_body,
        Ok(Err(_)) => return guard.respond(Verdict::NotRun(NotRun::CallerLeft)),
        Err(_) => return guard.respond(Verdict::NotRun(NotRun::DeadlinePassed)),
    };
    head::prepare_request(&mut parts);
    let active = ActiveRequest {
        pending: pending_request(origin, &request_head, deadline),
        cx,
        guard,
        parts,
        request_body,
    };
    match request_head.key {
        Some(key) if matches!(origin, Origin::Caller(_)) => dispatch_with_key(active, &key).await,
        // The agent that forwarded the request has claimed its key already.
        _ => dispatch(active).await,
    }
}

/// Claims the request's idempotency key, then dispatches the request if the
/// group grants it.
async fn dispatch_with_key(mut active: ActiveRequest, key: &[u8]) -> Response<ResponseBody> {
    let cx = active.cx.clone();
    if let Some(refused) = refusal_if_full(&active) {
        return run_actions(active, refused).await;
    }
    let (claim, rx) = Claim::begin(cx.clone(), key);
    active.guard.set_claim(claim);
    match wait_for_decision(&cx, rx).await {
        Decision::Granted => dispatch(active).await,
        refused => active.guard.refuse_key(refused),
    }
}

fn pending_request(origin: Origin, request_head: &RequestHead, deadline: Millis) -> PendingRequest {
    PendingRequest {
        deadline,
        feed: request_head.feed,
        forwarded: matches!(origin, Origin::Peer(_)),
        tried: Vec::new(),
    }
}

/// Refusal of a request for which no server has room, if so. Checked before its
/// key is claimed, because a claim costs messages to the group.
fn refusal_if_full(active: &ActiveRequest) -> Option<Action> {
    let now = active.cx.now();
    let mut router = active.cx.router.borrow_mut();
    let has_room = router.has_room(now, &active.pending);
    (!has_room).then(|| router.refuse_full(now, &active.pending))
}

/// Finds a server for the request and returns the response.
async fn dispatch(active: ActiveRequest) -> Response<ResponseBody> {
    let action = active
        .cx
        .router
        .borrow_mut()
        .begin(active.cx.now(), &active.pending);
    active.cx.deliver_permits();
    run_actions(active, action).await
}

/// Carries out `action` and those that follow it until the request has a
/// response.
async fn run_actions(mut active: ActiveRequest, mut action: Action) -> Response<ResponseBody> {
    let cx = active.cx.clone();
    loop {
        let outcome = match action {
            Action::Refuse(refusal) => return active.guard.refuse(refusal),
            Action::Forward(to) => forward(active, to).await,
            Action::Run(permit) => {
                let permit_guard = PermitGuard::new(cx.clone(), permit);
                send_to_backend(active, permit_guard).await
            }
            Action::Wait(queued) => {
                let mut queue_guard = QueueGuard::join(cx.clone(), queued);
                let time_limit = queued.until.since(cx.now());
                match timeout(time_limit, queue_guard.wait_for_permit()).await {
                    Ok(permit_guard) => send_to_backend(active, permit_guard).await,
                    Err(_) => {
                        let mut router = cx.router.borrow_mut();
                        action = router.on_wait_timeout(cx.now(), &active.pending, queued.ticket);
                        continue;
                    }
                }
            }
        };
        let (returned, reason) = match outcome {
            TryOutcome::Responded(res) => return res,
            TryOutcome::NotRun(returned, reason) => (returned, reason),
        };
        active = *returned;
        active.guard.reset_send();
        let mut router = cx.router.borrow_mut();
        action = if active.request_body.can_be_sent() {
            router.retry(cx.now(), &active.pending, reason)
        } else {
            router.refuse(reason)
        };
        drop(router);
        cx.deliver_permits();
    }
}

//! One request: follows the steps that the decisions return.

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

use super::body::AnswerBody;
use super::claim::Claim;
use super::claim::decision;
use super::context::RequestContext;
use super::hand_on::hand_on;
use super::head;
use super::head::Head;
use super::job::Job;
use super::job::Tried;
use super::local::run_here;
use super::progress::Held;
use super::progress::Origin;
use super::progress::Place;
use super::progress::Progress;
use super::send_body::Payload;

/// Serves one request.
pub async fn serve(
    cx: Rc<RequestContext>,
    origin: Origin,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let progress = Progress::begin(cx.clone(), origin);
    let (mut parts, body) = req.into_parts();
    let Some(found) = Head::read(&parts) else {
        return progress.answer(Verdict::NotRun(NotRun::BadRequest));
    };
    let span = found.deadline.unwrap_or(cx.policy().deadline);
    let deadline = cx.now() + span;
    let payload = match timeout(span, Payload::read(body)).await {
        Ok(Ok(payload)) => payload,
        Ok(Err(_)) => return progress.answer(Verdict::NotRun(NotRun::CallerLeft)),
        Err(_) => return progress.answer(Verdict::NotRun(NotRun::DeadlinePassed)),
    };
    head::pass_on(&mut parts);
    let job = Job {
        ask: ask(origin, &found, deadline),
        cx,
        progress,
        parts,
        payload,
    };
    match found.key {
        Some(key) if matches!(origin, Origin::Caller(_)) => place_once(job, &key).await,
        // The agent that handed a request on has claimed its key.
        _ => place(job).await,
    }
}

/// Lets the group say whether the request may run, then finds a server.
async fn place_once(mut job: Job, key: &[u8]) -> Response<AnswerBody> {
    let cx = job.cx.clone();
    if let Some(refused) = refuse_full(&job) {
        return follow(job, refused).await;
    }
    let (claim, rx) = Claim::begin(cx.clone(), key);
    job.progress.claims(claim);
    match decision(&cx, rx).await {
        Decision::Granted => place(job).await,
        refused => job.progress.refuse_key(refused),
    }
}

fn ask(origin: Origin, found: &Head, deadline: Millis) -> PendingRequest {
    PendingRequest {
        deadline,
        feed: found.feed,
        forwarded: matches!(origin, Origin::Peer(_)),
        tried: Vec::new(),
    }
}

/// Refusal of a request that has no chance now. Found out before the group is
/// asked about its key, which costs messages.
fn refuse_full(job: &Job) -> Option<Action> {
    let now = job.cx.now();
    let mut requests = job.cx.requests.borrow_mut();
    let has_room = requests.has_room(now, &job.ask);
    (!has_room).then(|| requests.refuse_full(now, &job.ask))
}

/// Finds a server for the request and returns its answer.
async fn place(job: Job) -> Response<AnswerBody> {
    let step = job.cx.requests.borrow_mut().begin(job.cx.now(), &job.ask);
    job.cx.wake();
    follow(job, step).await
}

/// Follows the steps of a request to its answer.
async fn follow(mut job: Job, mut step: Action) -> Response<AnswerBody> {
    let cx = job.cx.clone();
    loop {
        let tried = match step {
            Action::Refuse(refusal) => return job.progress.refuse(refusal),
            Action::Forward(to) => hand_on(job, to).await,
            Action::Run(permit) => {
                let held = Held::new(cx.clone(), permit);
                run_here(job, held).await
            }
            Action::Wait(waiting) => {
                let mut place = Place::take(cx.clone(), waiting);
                let span = waiting.until.since(cx.now());
                match timeout(span, place.admitted()).await {
                    Ok(held) => run_here(job, held).await,
                    Err(_) => {
                        let mut requests = cx.requests.borrow_mut();
                        step = requests.on_wait_timeout(cx.now(), &job.ask, waiting.ticket);
                        continue;
                    }
                }
            }
        };
        let (back, reason) = match tried {
            Tried::Answered(res) => return res,
            Tried::NotRun(back, reason) => (back, reason),
        };
        job = *back;
        job.progress.did_not_run();
        let mut requests = cx.requests.borrow_mut();
        step = if job.payload.is_whole() {
            requests.retry(cx.now(), &job.ask, reason)
        } else {
            requests.refuse(reason)
        };
        drop(requests);
        cx.wake();
    }
}

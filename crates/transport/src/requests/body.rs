//! Body of an answer on its way to the caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;
use hyper::body::Incoming;
use quick_error::quick_error;
use ramp_coordination::concurrency_limit::RequestOutcome;
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::Verdict;
use tokio::time::Sleep;

use super::progress::Held;
use super::progress::Progress;
use super::upstream::Upstream;
use super::visit::Visit;

quick_error! {
    /// Why an answer was cut.
    #[derive(Debug)]
    pub enum CutError {
        /// The connection to the backend server or the other agent broke.
        Upstream(err: hyper::Error) {
            display("the answer broke off: {}", err)
            from()
        }
        /// The deadline passed.
        DeadlinePassed {
            display("the deadline passed during the answer")
        }
    }
}

/// Body of an answer.
pub enum AnswerBody {
    /// Written by us.
    Own(Full<Bytes>),
    /// Streamed from a backend server or another agent.
    Relayed(Box<Relay>),
}

/// Body that comes from upstream, with what ends when it ends.
pub struct Relay {
    /// The body.
    pub body: Incoming,
    /// The request that it answers.
    pub progress: Progress,
    /// What the request holds at the backend server, if it runs here.
    pub held: Option<Held>,
    /// What to tell when the body breaks off.
    pub loss: MayHaveRun,
    /// Whether it is a feed.
    pub is_feed: bool,
    /// When the answer has to be over; never for a feed.
    pub deadline: Option<Pin<Box<Sleep>>>,
    /// The agent that runs the request, if it was handed on.
    pub visit: Option<Visit>,
    /// Held so that dropping the answer drops the upstream connection.
    pub _upstream: Upstream,
}

impl Relay {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        if let Some(deadline) = &mut self.deadline
            && deadline.as_mut().poll(cx).is_ready()
        {
            self.end(Verdict::MayHaveRun(MayHaveRun::DeadlinePassed));
            return Poll::Ready(Some(Err(CutError::DeadlinePassed)));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => {
                if let Some(held) = &mut self.held {
                    held.learn(RequestOutcome::ConnectionLost);
                }
                self.end(Verdict::MayHaveRun(self.loss));
            }
            None => self.end(Verdict::Served),
        }
        Poll::Ready(frame.map(|f| f.map_err(CutError::Upstream)))
    }

    fn end(&mut self, verdict: Verdict) {
        self.held = None;
        self.visit = None;
        self.progress.end(verdict);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // A body of known length is dropped at its end without being polled
        // once more. A feed has no end but that its caller leaves.
        let is_over = self.is_feed && !self.progress.is_given_up();
        if self.body.is_end_stream() || is_over {
            self.end(Verdict::Served);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutError>>> {
        match self.get_mut() {
            AnswerBody::Own(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            AnswerBody::Relayed(relay) => relay.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Own(body) => body.is_end_stream(),
            AnswerBody::Relayed(relay) => relay.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Own(body) => body.size_hint(),
            AnswerBody::Relayed(relay) => relay.body.size_hint(),
        }
    }
}

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
use ramp_state::verdict::MayHaveRun;
use ramp_state::verdict::Verdict;

use super::serve::RequestInProgress;
use super::upstream::Upstream;

/// Body of an answer.
pub enum AnswerBody {
    /// Written by us.
    Own(Full<Bytes>),
    /// Streamed from a backend server or another agent.
    Relayed(Box<Relay>),
}

/// Body that comes from upstream, with what ends when it ends.
pub struct Relay {
    body: Incoming,
    req: RequestInProgress,
    /// Held so that dropping the answer drops the upstream connection.
    _upstream: Upstream,
}

impl Relay {
    /// Streams `body`; the request ends when it does.
    pub fn new(body: Incoming, req: RequestInProgress, upstream: Upstream) -> Box<Relay> {
        Box::new(Relay {
            body,
            req,
            _upstream: upstream,
        })
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.req.end(Verdict::MayHaveRun(MayHaveRun::ServerLost)),
            None => self.req.end(Verdict::Served),
        }
        Poll::Ready(frame)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // A body of known length is dropped at its end without being polled
        // once more.
        let verdict = if self.body.is_end_stream() {
            Verdict::Served
        } else {
            Verdict::MayHaveRun(MayHaveRun::CallerLeft)
        };
        self.req.end(verdict);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
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

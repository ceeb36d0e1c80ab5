//! Body of a request on its way upstream.
//!
//! A short body is read in full before the request is admitted: a slow caller
//! then occupies no slot while it sends, and the request can be sent again when
//! it is certain that it did not run. A longer body is streamed, so it can be
//! sent only once.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

/// Longest body that is read in full before the request is admitted.
const MAX_BUFFERED_BODY_LEN_BYTES: u64 = 4096;

/// Body of a request between its tries.
pub enum RequestBody {
    /// Read in full; may be sent more than once.
    Buffered(Bytes),
    /// Streamed from the caller; can be sent once.
    Streamed(Incoming),
    /// Already streamed to a server that did not run the request.
    Consumed,
}

impl RequestBody {
    /// Reads `body` in full if its length is known and short.
    ///
    /// # Errors
    ///
    /// When the caller's connection fails.
    pub async fn read(body: Incoming) -> hyper::Result<RequestBody> {
        let is_buffered = body
            .size_hint()
            .exact()
            .is_some_and(|len| len <= MAX_BUFFERED_BODY_LEN_BYTES);
        if !is_buffered {
            return Ok(RequestBody::Streamed(body));
        }
        let buffered = body.collect().await?;
        Ok(RequestBody::Buffered(buffered.to_bytes()))
    }

    /// Body for one try and how much of it has been sent; `None` when it is
    /// consumed.
    pub fn take(&mut self) -> Option<(OutgoingBody, Rc<Cell<SendState>>)> {
        match std::mem::replace(self, RequestBody::Consumed) {
            RequestBody::Buffered(bytes) => {
                *self = RequestBody::Buffered(bytes.clone());
                let state = Rc::new(Cell::new(SendState::Complete(Instant::now())));
                Some((OutgoingBody::Buffered(Full::from(bytes)), state))
            }
            RequestBody::Streamed(body) => {
                let state = Rc::new(Cell::new(SendState::Partial));
                let streamed = OutgoingBody::Streamed {
                    body,
                    state: state.clone(),
                };
                Some((streamed, state))
            }
            RequestBody::Consumed => None,
        }
    }

    /// Whether the body is available for another try.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, RequestBody::Consumed)
    }
}

/// How much of a body has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// Not all of it so far.
    Partial,
    /// All of it, since this time.
    Complete(Instant),
    /// Not all of it, because the caller's connection failed.
    Aborted,
}

/// Body of a request during one try.
pub enum OutgoingBody {
    /// Sent from memory.
    Buffered(Full<Bytes>),
    /// Streamed from the caller.
    Streamed {
        /// Body as it arrives from the caller.
        body: Incoming,
        /// How much of it has been sent; shared with the code that sends the
        /// request.
        state: Rc<Cell<SendState>>,
    },
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            OutgoingBody::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            OutgoingBody::Streamed { body, state } => {
                let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
                match &frame {
                    Some(Err(_)) => state.set(SendState::Aborted),
                    Some(Ok(_)) if !body.is_end_stream() => {}
                    Some(Ok(_)) | None => state.set(SendState::Complete(Instant::now())),
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Buffered(body) => body.is_end_stream(),
            OutgoingBody::Streamed { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Buffered(body) => body.size_hint(),
            OutgoingBody::Streamed { body, .. } => body.size_hint(),
        }
    }
}

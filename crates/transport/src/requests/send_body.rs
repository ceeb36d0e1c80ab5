//! Body of a request on its way upstream.
//!
//! A short body is read before the request is admitted: its sender then holds
//! no slot while it is slow, and the request can be sent again when it is
//! certain that it did not run. A long one is streamed and can't.

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

/// Longest body that is read before the request is sent, in bytes.
const SHORT_BODY_LEN_BYTES: u64 = 4096;

/// Body of a request before it is sent.
pub enum Payload {
    /// Read in full; may be sent more than once.
    Short(Bytes),
    /// Streamed; can be sent once.
    Long(Incoming),
    /// Streamed to a server that did not run the request.
    Spent,
}

impl Payload {
    /// Reads `body` if it is short.
    ///
    /// # Errors
    ///
    /// When the caller's connection breaks.
    pub async fn read(body: Incoming) -> hyper::Result<Payload> {
        let is_short = body
            .size_hint()
            .exact()
            .is_some_and(|len| len <= SHORT_BODY_LEN_BYTES);
        if !is_short {
            return Ok(Payload::Long(body));
        }
        let whole = body.collect().await?;
        Ok(Payload::Short(whole.to_bytes()))
    }

    /// Body to send, with its state; nothing when it is spent.
    pub fn take(&mut self) -> Option<(SendBody, Rc<Cell<Sent>>)> {
        match std::mem::replace(self, Payload::Spent) {
            Payload::Short(bytes) => {
                *self = Payload::Short(bytes.clone());
                let sent = Rc::new(Cell::new(Sent::Whole(Instant::now())));
                Some((SendBody::Short(Full::from(bytes)), sent))
            }
            Payload::Long(body) => {
                let sent = Rc::new(Cell::new(Sent::Partly));
                let streamed = SendBody::Long {
                    body,
                    sent: sent.clone(),
                };
                Some((streamed, sent))
            }
            Payload::Spent => None,
        }
    }

    /// Whether it can be sent, or sent again.
    pub fn is_whole(&self) -> bool {
        !matches!(self, Payload::Spent)
    }
}

/// How much of a body was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Not all, so far.
    Partly,
    /// All, at this moment.
    Whole(Instant),
    /// Never all of it, because its sender broke off.
    BrokenOff,
}

/// Body of a request as it is sent.
pub enum SendBody {
    /// Known in full.
    Short(Full<Bytes>),
    /// Streamed from the caller.
    Long {
        /// Where it comes from.
        body: Incoming,
        /// How much of it was sent.
        sent: Rc<Cell<Sent>>,
    },
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            SendBody::Short(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            SendBody::Long { body, sent } => {
                let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
                match &frame {
                    Some(Err(_)) => sent.set(Sent::BrokenOff),
                    Some(Ok(_)) if !body.is_end_stream() => {}
                    Some(Ok(_)) | None => sent.set(Sent::Whole(Instant::now())),
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            SendBody::Short(body) => body.is_end_stream(),
            SendBody::Long { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            SendBody::Short(body) => body.size_hint(),
            SendBody::Long { body, .. } => body.size_hint(),
        }
    }
}

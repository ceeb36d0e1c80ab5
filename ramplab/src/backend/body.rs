//! Response bodies of the simulated backend server: complete ones, and the event
//! stream of a feed.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body_util::Full;
use tokio::sync::watch;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;

/// Body of a response.
pub enum ResponseBody {
    /// Bytes that are known when the response starts.
    Complete(Full<Bytes>),
    /// Event stream that is produced over time.
    Feed(Feed),
}

/// Stream of numbered events at a fixed interval. It ends with an `end` event
/// after the last number or when the server drains.
pub struct Feed {
    id: String,
    ticks: Interval,
    next_number: u64,
    last_number: Option<u64>,
    draining: watch::Receiver<bool>,
    ended: bool,
}

impl Feed {
    /// Feed `id` with one event per `period`; `last_number` is the number of the
    /// last event, without it the feed ends only when the server drains.
    pub fn new(
        id: impl Into<String>,
        period: Duration,
        last_number: Option<u64>,
        draining: watch::Receiver<bool>,
    ) -> Feed {
        let mut ticks = tokio::time::interval(period.max(Duration::from_millis(1)));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Feed {
            id: id.into(),
            ticks,
            next_number: 1,
            last_number,
            draining,
            ended: false,
        }
    }

    fn next_event(&mut self) -> String {
        let number = self.next_number;
        self.next_number += 1;
        // The end event distinguishes a normal end from a broken connection.
        if self
            .last_number
            .is_some_and(|last_number| number > last_number)
            || *self.draining.borrow()
        {
            self.ended = true;
            return "event: end\ndata: end\n\n".to_string();
        }
        format!("id: {number}\ndata: {} {number}\n\n", self.id)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            ResponseBody::Complete(body) => Pin::new(body).poll_frame(cx),
            ResponseBody::Feed(feed) => {
                if feed.ended {
                    return Poll::Ready(None);
                }
                ready!(feed.ticks.poll_tick(cx));
                let event = feed.next_event();
                Poll::Ready(Some(Ok(Frame::data(event.into()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.is_end_stream(),
            ResponseBody::Feed(feed) => feed.ended,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            ResponseBody::Complete(body) => body.size_hint(),
            ResponseBody::Feed(_) => http_body::SizeHint::default(),
        }
    }
}

//! Bodies of answers: whole ones, and the stream of a feed.

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

/// Body of any answer.
pub enum Answer {
    /// Known from the start.
    Whole(Full<Bytes>),
    /// Events of a feed.
    Feed(Feed),
}

/// Numbered events at a steady period, until the last or until the drain.
pub struct Feed {
    id: String,
    ticks: Interval,
    next: u64,
    last: Option<u64>,
    draining: watch::Receiver<bool>,
    ended: bool,
}

impl Feed {
    /// Feed `id` with one event each `period`, so many in all or for ever.
    pub fn new(
        id: impl Into<String>,
        period: Duration,
        last: Option<u64>,
        draining: watch::Receiver<bool>,
    ) -> Feed {
        let mut ticks = tokio::time::interval(period.max(Duration::from_millis(1)));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Feed {
            id: id.into(),
            ticks,
            next: 1,
            last,
            draining,
            ended: false,
        }
    }

    fn next_event(&mut self) -> String {
        let number = self.next;
        self.next += 1;
        // The end is told, so that a caller can tell it from a cut.
        if self.last.is_some_and(|last| number > last) || *self.draining.borrow() {
            self.ended = true;
            return "event: end\ndata: end\n\n".to_string();
        }
        format!("id: {number}\ndata: {} {number}\n\n", self.id)
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Answer::Whole(body) => Pin::new(body).poll_frame(cx),
            Answer::Feed(feed) => {
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
            Answer::Whole(body) => body.is_end_stream(),
            Answer::Feed(feed) => feed.ended,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Answer::Whole(body) => body.size_hint(),
            Answer::Feed(_) => http_body::SizeHint::default(),
        }
    }
}

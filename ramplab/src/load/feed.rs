//! Feeds: keeps long streams of numbered events open and checks them for gaps,
//! repeated events and silence.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::history::AnswerCheck;
use crate::history::FlowEnd;
use crate::history::ReportedOutcome;
use crate::history::RequestKind;
use crate::load::LoadGenerator;
use crate::load::attempt::AttemptResult;
use crate::load::attempt::parse_head;
use crate::load::connection::Connection;
use crate::load::connection::ResponseGuard;
use crate::load::request_spec::RequestSpec;

/// Event periods without an event after which a feed is considered silent.
const SILENCE_TIMEOUT_PERIODS: u32 = 20;

/// Lower limit of the silence timeout, for feeds with short periods.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Counts a feed as open until dropped.
struct OpenFeedGuard<'a>(&'a LoadGenerator);

impl<'a> OpenFeedGuard<'a> {
    fn new(generator: &'a LoadGenerator) -> OpenFeedGuard<'a> {
        generator.counts.borrow_mut().feeds_open += 1;
        OpenFeedGuard(generator)
    }
}

impl Drop for OpenFeedGuard<'_> {
    fn drop(&mut self) {
        self.0.counts.borrow_mut().feeds_open -= 1;
    }
}

/// How reading a feed ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedEnd {
    /// The server sent the end event.
    Completed,
    /// The caller stopped reading at the end of the run.
    Stopped,
    /// The connection ended before the stream did.
    Truncated,
    /// No event came for too long.
    Silent,
    /// An event was missing, repeated, or belonged to another feed.
    Gap,
}

impl LoadGenerator {
    /// Keeps one feed open until the run stops; opens a new one each time it ends.
    pub(super) async fn keep_feed_open(self: Rc<Self>, initial_delay: Duration) {
        let mut stopping = self.stopping.subscribe();
        let mut delay = initial_delay;
        loop {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                _ = stopping.wait_for(|&s| s) => return,
            }
            let spec = self.new_request(RequestKind::Feed);
            let attempt = self.begin_attempt(&spec);
            let started = Instant::now();
            let result = self.run_feed(&spec, &attempt).await;
            self.end_attempt(&spec, attempt, &result, started);
            delay = self.retry_delay(&result);
        }
    }

    async fn run_feed(self: &Rc<Self>, spec: &RequestSpec, attempt: &str) -> AttemptResult {
        let mut result = parse_head(StatusCode::OK, &hyper::HeaderMap::new());
        result.told = ReportedOutcome::Nothing;
        let Ok(mut conn) = Connection::open(self, spec.service).await else {
            return result;
        };
        let guard = conn.start_response();
        let req = self.request(spec, attempt);
        let head = tokio::time::timeout(self.cfg.deadline, conn.send(req)).await;
        let res = match head {
            Ok(Ok(res)) => res,
            Ok(Err(_)) => {
                guard.set_end(FlowEnd::Broken);
                return result;
            }
            Err(_) => {
                guard.set_end(FlowEnd::Silent);
                return result;
            }
        };
        result = parse_head(res.status(), res.headers());
        guard.set_server(result.server.clone());
        if res.status() != StatusCode::OK {
            let _ = res.into_body().collect().await;
            return result;
        }
        let feed_end = self.read_feed(spec, res.into_body()).await;
        record_feed_end(&mut result, feed_end, &guard);
        result
    }

    async fn read_feed(&self, spec: &RequestSpec, mut body: Incoming) -> FeedEnd {
        let _open_feed = OpenFeedGuard::new(self);
        let silence_timeout =
            (self.cfg.feed_period * SILENCE_TIMEOUT_PERIODS).max(MIN_SILENCE_TIMEOUT);
        let mut stopping = self.stopping.subscribe();
        let mut checker = FeedChecker::new(&spec.id);
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(silence_timeout, body.frame()) => frame,
                _ = stopping.wait_for(|&s| s) => return FeedEnd::Stopped,
            };
            let Ok(frame) = frame else {
                return FeedEnd::Silent;
            };
            let Some(Ok(frame)) = frame else {
                return FeedEnd::Truncated;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Some(feed_end) = checker.push(&data) {
                return feed_end;
            }
        }
    }
}

fn record_feed_end(result: &mut AttemptResult, feed_end: FeedEnd, guard: &ResponseGuard) {
    result.answer = AnswerCheck::Right;
    let end = match feed_end {
        FeedEnd::Completed | FeedEnd::Stopped => FlowEnd::Closed,
        FeedEnd::Truncated => FlowEnd::Broken,
        FeedEnd::Silent => FlowEnd::Silent,
        FeedEnd::Gap => FlowEnd::Gap,
    };
    if end == FlowEnd::Gap {
        result.answer = AnswerCheck::Wrong;
    }
    if end != FlowEnd::Closed {
        result.told = ReportedOutcome::Nothing;
    }
    guard.set_end(end);
}

/// Incremental parser of a feed that checks the number and content of each event.
#[derive(Debug)]
pub struct FeedChecker {
    id: String,
    next: u64,
    buffered: Vec<u8>,
}

impl FeedChecker {
    /// Creates a checker for the feed `id`, which starts at event 1.
    pub fn new(id: impl Into<String>) -> FeedChecker {
        FeedChecker {
            id: id.into(),
            next: 1,
            buffered: Vec::new(),
        }
    }

    /// Parses more bytes; returns how the feed ended once they show it.
    pub fn push(&mut self, data: &[u8]) -> Option<FeedEnd> {
        self.buffered.extend_from_slice(data);
        while let Some(end) = self.buffered.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.buffered.drain(..end + 2).collect();
            if event.starts_with(b"event: end") {
                return Some(FeedEnd::Completed);
            }
            let number = self.next;
            let expected = format!("id: {number}\ndata: {} {number}\n\n", self.id);
            if event != expected.as_bytes() {
                return Some(FeedEnd::Gap);
            }
            self.next += 1;
        }
        None
    }
}

//! Feeds: long streams of numbered events, watched for gaps and silence.

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
use crate::load::Load;
use crate::load::ask::Ask;
use crate::load::attempt::Reply;
use crate::load::attempt::judge_head;
use crate::load::connection::Connection;
use crate::load::connection::InAnswer;

/// Periods without an event after which a feed counts as silent.
const SILENT_PERIODS: u32 = 20;

/// Shortest silence that counts.
const SILENCE_LEAST: Duration = Duration::from_secs(8);

/// Counts a feed as open while it lives.
struct Open<'a>(&'a Load);

impl<'a> Open<'a> {
    fn new(load: &'a Load) -> Open<'a> {
        load.counts.borrow_mut().feeds_open += 1;
        Open(load)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.counts.borrow_mut().feeds_open -= 1;
    }
}

/// How reading a feed ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The server told the end.
    ReportedOutcome,
    /// The caller had enough.
    Stopped,
    /// The connection ended before the stream did.
    Cut,
    /// No event came for too long.
    Silent,
    /// An event was missing, repeated, or another's.
    Gap,
}

impl Load {
    /// Keeps one feed open until the run stops, with a new one for each that
    /// ended.
    pub(super) async fn keep_feed_open(self: Rc<Self>, wait: Duration) {
        let mut stopping = self.stopping.subscribe();
        let mut pause = wait;
        loop {
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stopping.wait_for(|&s| s) => return,
            }
            let ask = self.new_ask(RequestKind::Feed);
            let attempt = self.begin_attempt(&ask);
            let started = Instant::now();
            let reply = self.watch_feed(&ask, &attempt).await;
            self.end_attempt(&ask, attempt, &reply, started);
            pause = self.pause(&reply);
        }
    }

    async fn watch_feed(self: &Rc<Self>, ask: &Ask, attempt: &str) -> Reply {
        let mut reply = judge_head(StatusCode::OK, &hyper::HeaderMap::new());
        reply.told = ReportedOutcome::Nothing;
        let Ok(mut conn) = Connection::open(self, ask.service).await else {
            return reply;
        };
        let in_answer = conn.in_answer();
        let req = self.request(ask, attempt);
        let head = tokio::time::timeout(self.cfg.deadline, conn.send(req)).await;
        let res = match head {
            Ok(Ok(res)) => res,
            Ok(Err(_)) => {
                in_answer.ended(FlowEnd::Broken);
                return reply;
            }
            Err(_) => {
                in_answer.ended(FlowEnd::Silent);
                return reply;
            }
        };
        reply = judge_head(res.status(), res.headers());
        in_answer.answered_by(reply.server.clone());
        if res.status() != StatusCode::OK {
            let _ = res.into_body().collect().await;
            return reply;
        }
        let ending = self.read_feed(ask, res.into_body()).await;
        settle(&mut reply, ending, &in_answer);
        reply
    }

    async fn read_feed(&self, ask: &Ask, mut body: Incoming) -> Ending {
        let _open = Open::new(self);
        let silence = (self.cfg.feed_period * SILENT_PERIODS).max(SILENCE_LEAST);
        let mut stopping = self.stopping.subscribe();
        let mut reader = Reader::new(&ask.id);
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout(silence, body.frame()) => frame,
                _ = stopping.wait_for(|&s| s) => return Ending::Stopped,
            };
            let Ok(frame) = frame else {
                return Ending::Silent;
            };
            let Some(Ok(frame)) = frame else {
                return Ending::Cut;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if let Some(ending) = reader.push(&data) {
                return ending;
            }
        }
    }
}

fn settle(reply: &mut Reply, ending: Ending, in_answer: &InAnswer) {
    reply.answer = AnswerCheck::Right;
    let end = match ending {
        Ending::ReportedOutcome | Ending::Stopped => FlowEnd::Closed,
        Ending::Cut => FlowEnd::Broken,
        Ending::Silent => FlowEnd::Silent,
        Ending::Gap => FlowEnd::Gap,
    };
    if end == FlowEnd::Gap {
        reply.answer = AnswerCheck::Wrong;
    }
    if end != FlowEnd::Closed {
        reply.told = ReportedOutcome::Nothing;
    }
    in_answer.ended(end);
}

/// Takes a feed's bytes and checks its events.
#[derive(Debug)]
pub struct Reader {
    id: String,
    next: u64,
    rest: Vec<u8>,
}

impl Reader {
    /// Reader of the feed `id`.
    pub fn new(id: impl Into<String>) -> Reader {
        Reader {
            id: id.into(),
            next: 1,
            rest: Vec::new(),
        }
    }

    /// Takes more bytes; tells the ending when they show one.
    pub fn push(&mut self, data: &[u8]) -> Option<Ending> {
        self.rest.extend_from_slice(data);
        while let Some(end) = self.rest.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.rest.drain(..end + 2).collect();
            if event.starts_with(b"event: end") {
                return Some(Ending::ReportedOutcome);
            }
            let number = self.next;
            let expected = format!("id: {number}\ndata: {} {number}\n\n", self.id);
            if event != expected.as_bytes() {
                return Some(Ending::Gap);
            }
            self.next += 1;
        }
        None
    }
}

//! One caller's connection, and the note of how it ended.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::history::EventData;
use crate::history::FlowEnd;
use crate::load::Load;

/// Requests after which a caller closes its connection.
const REQUESTS_MOST: u32 = 20;

/// An open connection to one service.
pub struct Connection {
    /// Service, by position.
    pub service: usize,
    sender: SendRequest<Full<Bytes>>,
    flow: Rc<Flow>,
    requests: u32,
}

/// What the caller learns of its connection.
#[derive(Default)]
pub struct Flow {
    server: RefCell<Option<String>>,
    in_answer: Cell<bool>,
    answer_ended: Notify,
    end: Cell<Option<FlowEnd>>,
}

/// Marks the connection as in the middle of an answer.
pub struct InAnswer(Rc<Flow>);

impl Drop for InAnswer {
    fn drop(&mut self) {
        self.0.in_answer.set(false);
        self.0.answer_ended.notify_one();
    }
}

impl InAnswer {
    /// Notes how the connection ended, when only the answer shows it.
    pub fn ended(&self, end: FlowEnd) {
        self.0.end.set(Some(end));
    }

    /// Notes the server that answers.
    pub fn answered_by(&self, server: Option<String>) {
        *self.0.server.borrow_mut() = server;
    }
}

impl Connection {
    /// Opens a connection to the service at this position.
    ///
    /// # Errors
    ///
    /// That of the operating system.
    pub async fn open(load: &Rc<Load>, service: usize) -> io::Result<Connection> {
        let target = &load.cfg.targets[service];
        let socket = TcpSocket::new_v4()?;
        socket.bind((load.caller(), 0).into())?;
        let stream = socket.connect(target.local).await?;
        stream.set_nodelay(true)?;
        let addr = stream.local_addr()?;
        load.counts.borrow_mut().flows_opened += 1;
        load.record(EventData::FlowOpened {
            flow: addr,
            service: target.name.clone(),
        });
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let flow = Rc::new(Flow::default());
        spawn_local(attend(load.clone(), flow.clone(), addr, conn));
        Ok(Connection {
            service,
            sender,
            flow,
            requests: 0,
        })
    }

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Whether it may be used again.
    pub fn is_fresh(&self) -> bool {
        !self.is_closed() && self.requests < REQUESTS_MOST
    }

    /// Marks it as in the middle of an answer while the result lives.
    pub fn in_answer(&self) -> InAnswer {
        self.flow.in_answer.set(true);
        InAnswer(self.flow.clone())
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// As hyper has it.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.requests += 1;
        self.sender.ready().await?;
        self.sender.send_request(req).await
    }
}

/// Drives the connection and notes its end.
async fn attend(
    load: Rc<Load>,
    flow: Rc<Flow>,
    addr: SocketAddr,
    conn: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
) {
    let result = conn.await;
    // The reader may still hold the last bytes of an answer that came whole.
    while flow.in_answer.get() {
        flow.answer_ended.notified().await;
    }
    let end = match (flow.end.get(), result) {
        (Some(end), _) => end,
        (None, Ok(())) => FlowEnd::Closed,
        (None, Err(_)) => FlowEnd::Broken,
    };
    load.counts.borrow_mut().flow_ended(end);
    load.record(EventData::FlowEnded {
        flow: addr,
        server: flow.server.borrow().clone(),
        end,
    });
}

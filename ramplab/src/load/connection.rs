//! A caller's HTTP connection, which records in the history how it ended.

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
use crate::load::LoadGenerator;

/// Requests after which a caller closes its connection and opens another.
const MAX_REQUESTS_PER_CONNECTION: u32 = 20;

/// An open connection to one service, reused for several requests.
pub struct Connection {
    /// Index of the service in the configuration.
    pub service: usize,
    sender: SendRequest<Full<Bytes>>,
    flow: Rc<FlowState>,
    requests: u32,
}

/// State shared by the users of a connection and the task that drives it.
#[derive(Default)]
pub struct FlowState {
    server: RefCell<Option<String>>,
    response_in_progress: Cell<bool>,
    response_ended: Notify,
    end: Cell<Option<FlowEnd>>,
}

/// Marks the connection as receiving a response until dropped.
pub struct ResponseGuard(Rc<FlowState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.response_in_progress.set(false);
        self.0.response_ended.notify_one();
    }
}

impl ResponseGuard {
    /// Sets how the connection ended, when only the response shows it.
    pub fn set_end(&self, end: FlowEnd) {
        self.0.end.set(Some(end));
    }

    /// Sets the server that sent the response.
    pub fn set_server(&self, server: Option<String>) {
        *self.0.server.borrow_mut() = server;
    }
}

impl Connection {
    /// Opens a connection to the service with this index.
    ///
    /// # Errors
    ///
    /// When the socket can't be bound or connected.
    pub async fn open(generator: &Rc<LoadGenerator>, service: usize) -> io::Result<Connection> {
        let target = &generator.cfg.targets[service];
        let socket = TcpSocket::new_v4()?;
        socket.bind((generator.random_caller_ip(), 0).into())?;
        let stream = socket.connect(target.address).await?;
        stream.set_nodelay(true)?;
        let addr = stream.local_addr()?;
        generator.counts.borrow_mut().flows_opened += 1;
        generator.record(EventData::FlowOpened {
            flow: addr,
            service: target.name.clone(),
        });
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let flow = Rc::new(FlowState::default());
        spawn_local(drive_connection(
            generator.clone(),
            flow.clone(),
            addr,
            conn,
        ));
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

    /// Whether another request may be sent on it.
    pub fn is_reusable(&self) -> bool {
        !self.is_closed() && self.requests < MAX_REQUESTS_PER_CONNECTION
    }

    /// Marks the connection as receiving a response until the guard is dropped.
    pub fn start_response(&self) -> ResponseGuard {
        self.flow.response_in_progress.set(true);
        ResponseGuard(self.flow.clone())
    }

    /// Sends a request and returns the response, its body not yet read.
    ///
    /// # Errors
    ///
    /// When hyper can't send the request or receive the response head.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.requests += 1;
        self.sender.ready().await?;
        self.sender.send_request(req).await
    }
}

/// Drives the connection and records its end.
async fn drive_connection(
    generator: Rc<LoadGenerator>,
    flow: Rc<FlowState>,
    addr: SocketAddr,
    conn: http1::Connection<TokioIo<TcpStream>, Full<Bytes>>,
) {
    let result = conn.await;
    // The task that reads the response may not have processed its last bytes yet.
    while flow.response_in_progress.get() {
        flow.response_ended.notified().await;
    }
    let end = match (flow.end.get(), result) {
        (Some(end), _) => end,
        (None, Ok(())) => FlowEnd::Closed,
        (None, Err(_)) => FlowEnd::Broken,
    };
    generator.counts.borrow_mut().flow_ended(end);
    generator.record(EventData::FlowEnded {
        flow: addr,
        server: flow.server.borrow().clone(),
        end,
    });
}

//! HTTP client for calls to the platform over one persistent connection.
//!
//! Each call has a timeout, and TCP keepalive detects a dead connection. After a
//! failure the connection is closed, and the next call opens a new one.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use ramp_coordination::passthrough::platform_client::PlatformError;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connect::connect;

/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle time before the first keepalive probe, and time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is dead.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// An answer of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// HTTP client with one connection. Must be used inside a `LocalSet`.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddrV4,
    connection: Option<Connection>,
}

#[derive(Debug)]
struct Connection {
    requests: SendRequest<Empty<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpClient {
    /// Client for the server at `address`. Connects on the first call.
    pub fn new(address: SocketAddrV4) -> HttpClient {
        HttpClient {
            address,
            connection: None,
        }
    }

    /// Sends a GET request for `path` and returns the answer within `limit`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unreachable`]; the connection is closed then.
    pub async fn get(&mut self, path: &str, limit: Duration) -> Result<Answer, PlatformError> {
        // If this call is dropped before its answer, its connection is closed too,
        // so that no later call reads that answer.
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.requests.is_closed() => connection,
            _ => self.connect().await?,
        };
        let answer = timeout(limit, connection.get(self.address, path)).await;
        let answer = answer.map_err(|_| unreachable("no answer in time"))??;
        self.connection = Some(connection);
        Ok(answer)
    }

    async fn connect(&self) -> Result<Connection, PlatformError> {
        let connected = connect(self.address, CONNECT_TIMEOUT).await;
        let stream = connected.map_err(|err| unreachable(format!("no connection: {err}")))?;
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(MAX_UNANSWERED_PROBES);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keepalive).map_err(unreachable)?;
        socket.set_tcp_nodelay(true).map_err(unreachable)?;
        let (requests, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(unreachable)?;
        let driver = spawn_local(async move {
            if let Err(err) = driver.await {
                log::debug!("connection to the platform ended: {err}");
            }
        });
        Ok(Connection {
            requests,
            driver: driver.abort_handle(),
        })
    }
}

impl Connection {
    async fn get(&mut self, host: SocketAddrV4, path: &str) -> Result<Answer, PlatformError> {
        let request = Request::get(path)
            .header(header::HOST, host.to_string())
            .body(Empty::new())
            .map_err(unreachable)?;
        self.requests.ready().await.map_err(unreachable)?;
        let response = self
            .requests
            .send_request(request)
            .await
            .map_err(unreachable)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|err| PlatformError::Unreachable(err.to_string()))?;
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

fn unreachable(reason: impl ToString) -> PlatformError {
    PlatformError::Unreachable(reason.to_string())
}

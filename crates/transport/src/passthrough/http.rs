//! Reading from the platform over one connection that is kept open.
//!
//! Each call has a time limit, and the connection sends keep-alive probes:
//! one that went silent is given up and replaced.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
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

/// Time that a connection may take to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// Silence after which a connection is probed, and time between two probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

/// Largest answer that is read, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// An answer of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
}

/// Client with one connection. Must be used inside a `LocalSet`.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddrV4,
    open: Option<Connection>,
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
    /// Client of the server at `address`; connects with the first call.
    pub fn new(address: SocketAddrV4) -> HttpClient {
        HttpClient {
            address,
            open: None,
        }
    }

    /// Reads `path` within `limit`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unreachable`]; the connection is given up then.
    pub async fn get(&mut self, path: &str, limit: Duration) -> Result<Answer, PlatformError> {
        // A call that is dropped half-way must not leave its connection behind.
        let mut connection = match self.open.take() {
            Some(connection) if !connection.requests.is_closed() => connection,
            _ => self.connect().await?,
        };
        let answer = timeout(limit, connection.get(self.address, path)).await;
        let answer = answer.map_err(|_| unreachable("no answer in time"))??;
        self.open = Some(connection);
        Ok(answer)
    }

    async fn connect(&self) -> Result<Connection, PlatformError> {
        let connecting = connect(self.address, CONNECT_LIMIT).await;
        let stream = connecting.map_err(|err| unreachable(format!("no connection: {err}")))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_EVERY)
            .with_interval(PROBE_EVERY)
            .with_retries(PROBES);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&probes).map_err(unreachable)?;
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
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|err| PlatformError::Unreachable(err.to_string()))?;
        Ok(Answer {
            status,
            body: body.to_bytes(),
        })
    }
}

fn unreachable(reason: impl ToString) -> PlatformError {
    PlatformError::Unreachable(reason.to_string())
}

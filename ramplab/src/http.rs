//! Minimal HTTP client: one request on one connection, read to its end.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Response header in which the platform gives the version of the text.
pub const VERSION_HEADER: &str = "x-version";

/// Complete response, with the body read into memory.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code; codes other than 200 are not treated as errors.
    pub status: StatusCode,
    /// All response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Version from [`VERSION_HEADER`]; zero when it is missing or not a number.
    pub fn version(&self) -> u64 {
        self.headers
            .get(VERSION_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    /// Body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the complete response.
///
/// # Errors
///
/// Any failure to connect, send or receive, and [`io::ErrorKind::TimedOut`]
/// after `timeout`.
pub async fn send_request(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
    timeout: Duration,
) -> io::Result<HttpResponse> {
    let body = Full::new(body.into());
    tokio::time::timeout(timeout, exchange(to, method, path, body))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn exchange(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Full<Bytes>,
) -> io::Result<HttpResponse> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut sender, conn) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, to.to_string())
        .body(body)
        .map_err(io::Error::other)?;
    let exchange = async {
        let res = sender.send_request(req).await.map_err(io::Error::other)?;
        let (head, body) = res.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    tokio::pin!(exchange);
    tokio::pin!(conn);
    tokio::select! {
        response = &mut exchange => response,
        // The connection may close as soon as the complete response has arrived.
        _ = &mut conn => exchange.await,
    }
}

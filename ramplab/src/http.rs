//! One-shot HTTP requests.

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

/// Name of the platform's version header.
pub const VERSION_HEADER: &str = "x-version";

/// Whole answer to a one-shot request.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Version that the platform gave with the answer; zero for none.
    pub fn version(&self) -> u64 {
        self.headers
            .get(VERSION_HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    /// Body as text, with what is not UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// Any failure to connect, send or receive, and [`io::ErrorKind::TimedOut`]
/// after `limit`.
pub async fn ask(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
    limit: Duration,
) -> io::Result<Answer> {
    let body = Full::new(body.into());
    tokio::time::timeout(limit, exchange(to, method, path, body))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn exchange(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Full<Bytes>,
) -> io::Result<Answer> {
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
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    tokio::pin!(exchange);
    tokio::pin!(conn);
    tokio::select! {
        answer = &mut exchange => answer,
        // The connection may end just when the whole answer has come.
        _ = &mut conn => exchange.await,
    }
}

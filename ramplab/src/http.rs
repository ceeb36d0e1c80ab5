//! Glue between tokio sockets and hyper, and one-shot HTTP requests.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use hyper::rt::ReadBufCursor;
use hyper::rt::Sleep;
use hyper::rt::Timer;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Most bytes copied in one read.
const READ_LEN_BYTES: usize = 16 * 1024;

/// Name of the platform's version header.
pub const VERSION_HEADER: &str = "x-version";

/// Tokio stream as hyper wants it.
pub struct HyperIo<S>(pub S);

impl<S: AsyncRead + Unpin> hyper::rt::Read for HyperIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // A copy through the stack, since handing out hyper's own buffer
        // would need unsafe code.
        let mut space = [0; READ_LEN_BYTES];
        let len = cursor.remaining().min(READ_LEN_BYTES);
        let mut buf = ReadBuf::new(&mut space[..len]);
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut buf))?;
        cursor.put_slice(buf.filled());
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> hyper::rt::Write for HyperIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

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
    let (mut sender, conn) = hyper::client::conn::http1::handshake(HyperIo(stream))
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

/// Timer for hyper's servers.
#[derive(Clone, Copy, Debug)]
pub struct HyperTimer;

struct TimerSleep(Pin<Box<tokio::time::Sleep>>);

impl Future for TimerSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(cx)
    }
}

impl Sleep for TimerSleep {}

impl Timer for HyperTimer {
    fn sleep(&self, span: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(TimerSleep(Box::pin(tokio::time::sleep(span))))
    }

    fn sleep_until(&self, deadline: std::time::Instant) -> Pin<Box<dyn Sleep>> {
        let sleep = tokio::time::sleep_until(deadline.into());
        Box::pin(TimerSleep(Box::pin(sleep)))
    }
}

//! Client connection for one request, to the backend server or to another
//! agent.
//!
//! Connections are not reused. A peer may have closed an idle connection, which
//! shows only after the request has been written to it; a request that nobody
//! received would then have to be reported as "may have run".

use std::cell::Cell;
use std::io;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::request_body::OutgoingBody;

/// Connection for one request. Dropping it closes the connection.
pub struct Upstream {
    written: Rc<Cell<bool>>,
    task: Option<JoinHandle<()>>,
}

impl Upstream {
    /// Opens a TCP connection to `to`, with Nagle's algorithm off.
    ///
    /// # Errors
    ///
    /// When the operating system can't connect; nothing has been sent then.
    pub async fn connect(to: SocketAddrV4) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Creates an unused connection. `written` is set when the first byte is
    /// written to it.
    pub fn new(written: Rc<Cell<bool>>) -> Upstream {
        Upstream {
            written,
            task: None,
        }
    }

    /// Sends `req` over `stream` and returns the response as soon as its head
    /// has arrived.
    ///
    /// # Errors
    ///
    /// When the connection or the source of the request body fails before that.
    pub async fn send(
        &mut self,
        stream: TcpStream,
        req: Request<OutgoingBody>,
    ) -> hyper::Result<Response<Incoming>> {
        let detector = WriteDetector {
            stream,
            written: self.written.clone(),
        };
        let (mut sender, conn) = http1::handshake(TokioIo::new(detector)).await?;
        self.task = Some(tokio::task::spawn_local(async move {
            if let Err(err) = conn.await {
                log::debug!("upstream connection failed: {err}");
            }
        }));
        sender.send_request(req).await
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Stream that sets `written` at the first byte written to it.
struct WriteDetector {
    stream: TcpStream,
    written: Rc<Cell<bool>>,
}

impl AsyncRead for WriteDetector {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteDetector {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&poll);
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl WriteDetector {
    fn record_write(&self, poll: &Poll<io::Result<usize>>) {
        if matches!(poll, Poll::Ready(Ok(n)) if *n > 0) {
            self.written.set(true);
        }
    }
}

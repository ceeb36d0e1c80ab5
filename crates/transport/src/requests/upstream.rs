//! One request on one fresh connection, to the backend server or to another
//! agent.
//!
//! A connection carries one request only. A kept one may have been closed by
//! the other side in the meantime, which shows only after the request has
//! been written to it, and then a request that nobody saw would have to be
//! told as "may have run".

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

use super::send_body::SendBody;

/// Connection for one request. Dropping it ends the connection.
pub struct Upstream {
    written: Rc<Cell<bool>>,
    task: Option<JoinHandle<()>>,
}

impl Upstream {
    /// Connects to `to`.
    ///
    /// # Errors
    ///
    /// That of the operating system; nothing was sent then.
    pub async fn connect(to: SocketAddrV4) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Connection that has carried nothing yet; `written` is set when the
    /// first byte is written to it.
    pub fn new(written: Rc<Cell<bool>>) -> Upstream {
        Upstream {
            written,
            task: None,
        }
    }

    /// Sends `req` and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// When the connection, or the request's own body, broke first.
    pub async fn send(
        &mut self,
        stream: TcpStream,
        req: Request<SendBody>,
    ) -> hyper::Result<Response<Incoming>> {
        let watched = Watched {
            stream,
            written: self.written.clone(),
        };
        let (mut sender, conn) = http1::handshake(TokioIo::new(watched)).await?;
        self.task = Some(tokio::task::spawn_local(async move {
            if let Err(err) = conn.await {
                log::debug!("upstream connection ended: {err}");
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

/// Stream that notes whether anything was written to it.
struct Watched {
    stream: TcpStream,
    written: Rc<Cell<bool>>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(&poll);
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

impl Watched {
    fn note(&self, poll: &Poll<io::Result<usize>>) {
        if matches!(poll, Poll::Ready(Ok(n)) if *n > 0) {
            self.written.set(true);
        }
    }
}

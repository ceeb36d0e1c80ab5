//! Tokio's streams as hyper wants them.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use hyper::rt::ReadBufCursor;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that one read takes at most.
const READ_LEN_BYTES: usize = 8192;

/// A tokio stream that hyper reads and writes.
#[derive(Debug)]
pub struct HyperIo<T> {
    stream: T,
}

impl<T> HyperIo<T> {
    /// Wraps `stream`.
    pub fn new(stream: T) -> HyperIo<T> {
        HyperIo { stream }
    }
}

impl<T: AsyncRead + Unpin> hyper::rt::Read for HyperIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // The cursor's own memory can only be advanced by unsafe code.
        let mut scratch = [0; READ_LEN_BYTES];
        let len = cursor.remaining().min(READ_LEN_BYTES);
        let mut buf = ReadBuf::new(&mut scratch[..len]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
        cursor.put_slice(buf.filled());
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> hyper::rt::Write for HyperIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

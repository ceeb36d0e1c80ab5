//! Adapts the TCP socket of one flow to the byte streams of the HTTP library.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use slotmap::new_key_type;
use smoltcp::socket::tcp;
use tokio::sync::Notify;

use crate::agent::stack::FlowStack;

new_key_type! {
    /// Key of an open flow in the traffic thread's slot map.
    pub struct FlowId;
}

/// List of the flows that must be driven, with a notification that wakes the
/// traffic loop.
#[derive(Debug, Default)]
pub struct Pending {
    flows: RefCell<Vec<FlowId>>,
    notify: Notify,
}

impl Pending {
    /// Adds `flow` to the list and wakes the traffic loop.
    pub fn mark(&self, flow: FlowId) {
        self.flows.borrow_mut().push(flow);
        self.notify.notify_one();
    }

    /// Empties the list; the same flow may occur in it more than once.
    pub fn take(&self) -> Vec<FlowId> {
        self.flows.take()
    }

    /// Waits until a flow is added.
    pub async fn wait(&self) {
        self.notify.notified().await;
    }
}

/// Byte stream of one flow.
pub struct FlowIo {
    id: FlowId,
    stack: Rc<RefCell<FlowStack>>,
    pending: Rc<Pending>,
    closed: bool,
}

impl FlowIo {
    /// Stream over an established flow.
    pub fn new(id: FlowId, stack: Rc<RefCell<FlowStack>>, pending: Rc<Pending>) -> FlowIo {
        FlowIo {
            id,
            stack,
            pending,
            closed: false,
        }
    }
}

impl Read for FlowIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut stack = self.stack.borrow_mut();
        let socket = stack.socket();
        let read = socket.recv(|data| {
            let len = data.len().min(buf.remaining());
            buf.put_slice(&data[..len]);
            (len, len)
        });
        match read {
            Ok(0) => {
                socket.register_recv_waker(cx.waker());
                Poll::Pending
            }
            Ok(_) => {
                // Reading enlarged the receive window, which TCP has to announce
                // to the caller.
                self.pending.mark(self.id);
                Poll::Ready(Ok(()))
            }
            Err(tcp::RecvError::Finished) => Poll::Ready(Ok(())),
            Err(tcp::RecvError::InvalidState) => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
        }
    }
}

impl Write for FlowIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut stack = self.stack.borrow_mut();
        let socket = stack.socket();
        match socket.send_slice(buf) {
            Ok(0) if !buf.is_empty() => {
                socket.register_send_waker(cx.waker());
                Poll::Pending
            }
            Ok(len) => {
                self.pending.mark(self.id);
                Poll::Ready(Ok(len))
            }
            Err(tcp::SendError::InvalidState) => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stack.borrow_mut().socket().close();
        self.pending.mark(self.id);
        self.closed = true;
        Poll::Ready(Ok(()))
    }
}

impl Drop for FlowIo {
    fn drop(&mut self) {
        if !self.closed {
            // The response may be incomplete. A reset shows this to the caller,
            // who could take an orderly close for the end of the response.
            self.stack.borrow_mut().socket().abort();
            self.pending.mark(self.id);
        }
    }
}

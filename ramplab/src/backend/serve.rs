//! Accept loop and connections of the simulated backend server. A crash resets
//! all connections, a drain ends each one after its request in progress.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::backend::Backend;

/// Counts a connection as open until it is dropped.
struct ConnectionGuard<'a>(&'a Backend);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        let count = &self.0.open_connections;
        count.set(count.get() - 1);
    }
}

impl Backend {
    /// Serves until `stop` completes, then stops accepting connections and waits
    /// for the open ones to end.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                () = &mut stop => break,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else {
                        continue;
                    };
                    tasks.spawn_local(self.clone().serve_connection(stream));
                }
            }
            while tasks.try_join_next().is_some() {}
        }
        drop(listener);
        self.draining.send_replace(true);
        while tasks.join_next().await.is_some() {}
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        if self.open_connections.get() >= self.cfg.max_connections {
            reset_on_drop(&stream);
            return;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        let _guard = ConnectionGuard(&self);
        let _ = stream.set_nodelay(true);
        let mut crashes = self.crashes.subscribe();
        let mut draining = self.draining.subscribe();
        let service = service_fn(|req| self.clone().handle(req).boxed_local());
        let mut conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut shutting_down = false;
        loop {
            tokio::select! {
                result = &mut conn => {
                    if let Err(err) = result {
                        log::debug!("connection failed: {err}");
                    }
                    return;
                }
                _ = crashes.changed() => {
                    reset_on_drop(conn.into_parts().io.inner());
                    return;
                }
                _ = draining.wait_for(|&d| d), if !shutting_down => {
                    shutting_down = true;
                    std::pin::Pin::new(&mut conn).graceful_shutdown();
                }
            }
        }
    }
}

/// Makes the kernel close the stream with a reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

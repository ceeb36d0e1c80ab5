//! Connections of a backend server: accepted, reset when it falls over, and
//! finished in order when it drains.

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

/// Holds one of the server's connections.
struct Connection<'a>(&'a Backend);

impl Drop for Connection<'_> {
    fn drop(&mut self) {
        let count = &self.0.connections;
        count.set(count.get() - 1);
    }
}

impl Backend {
    /// Serves until `stop`, then drains.
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
                    tasks.spawn_local(self.clone().connection(stream));
                }
            }
            while tasks.try_join_next().is_some() {}
        }
        drop(listener);
        self.draining.send_replace(true);
        while tasks.join_next().await.is_some() {}
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        if self.connections.get() >= self.cfg.connections {
            reset(&stream);
            return;
        }
        self.connections.set(self.connections.get() + 1);
        let _held = Connection(&self);
        let _ = stream.set_nodelay(true);
        let mut falls = self.falls.subscribe();
        let mut draining = self.draining.subscribe();
        let service = service_fn(|req| self.clone().handle(req).boxed_local());
        let mut conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let mut told = false;
        loop {
            tokio::select! {
                result = &mut conn => {
                    if let Err(err) = result {
                        log::debug!("connection: {err}");
                    }
                    return;
                }
                _ = falls.changed() => {
                    reset(conn.into_parts().io.inner());
                    return;
                }
                _ = draining.wait_for(|&d| d), if !told => {
                    told = true;
                    std::pin::Pin::new(&mut conn).graceful_shutdown();
                }
            }
        }
    }
}

/// Makes the stream end by a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

//! Tells whoever asks whether this process is ready for packets.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Whether the process is ready: from its first view until it leaves, as long
/// as it is not cut off.
#[derive(Debug, Default)]
pub struct Readiness {
    has_view: Cell<bool>,
    cut_off: Cell<bool>,
    shutting_down: Cell<bool>,
}

impl Readiness {
    /// The process has a view.
    pub fn set_has_view(&self) {
        if !self.has_view.replace(true) {
            log::info!("ready");
        }
    }

    /// The process reachable those that it works with, or no longer does.
    pub fn set_reachable(&self, reachable: bool) {
        self.cut_off.set(!reachable);
        if reachable {
            log::info!("agents answer again");
        } else {
            log::warn!("cut off from all agents: not ready");
        }
    }

    /// The process leaves and is never ready again.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    fn is_ready(&self) -> bool {
        self.has_view.get() && !self.cut_off.get() && !self.shutting_down.get()
    }
}

/// Answers every request with 200 or 503. Must run inside a `LocalSet`.
pub async fn serve(listener: TcpListener, readiness: Rc<Readiness>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("a question for readiness was not accepted: {err}");
                continue;
            }
        };
        let readiness = Rc::clone(&readiness);
        spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let response = response(readiness.is_ready());
                async move { Ok::<_, Infallible>(response) }
            });
            // Whoever goes away early loses only its own answer.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn response(ready: bool) -> Response<Empty<Bytes>> {
    let mut answer = Response::new(Empty::new());
    if !ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

//! Answers readiness checks over HTTP: whether this process can handle packets.

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

/// Readiness of the process. It is ready from its first view until its shutdown
/// begins, except while it reaches no agent.
#[derive(Debug, Default)]
pub struct Readiness {
    has_view: Cell<bool>,
    cut_off: Cell<bool>,
    shutting_down: Cell<bool>,
}

impl Readiness {
    /// Records that the process has a view.
    pub fn set_has_view(&self) {
        if !self.has_view.replace(true) {
            log::info!("ready");
        }
    }

    /// Records whether any agent can be reached.
    pub fn set_reachable(&self, reachable: bool) {
        self.cut_off.set(!reachable);
        if reachable {
            log::info!("agents answer again");
        } else {
            log::warn!("cut off from all agents: not ready");
        }
    }

    /// Records that the process shuts down; it is never ready again.
    pub fn begin_shutdown(&self) {
        self.shutting_down.set(true);
    }

    fn is_ready(&self) -> bool {
        self.has_view.get() && !self.cut_off.get() && !self.shutting_down.get()
    }
}

/// Answers each request with status 200 if the process is ready, else with 503.
/// Must run inside a `LocalSet`.
pub async fn serve(listener: TcpListener, readiness: Rc<Readiness>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("readiness check not accepted: {err}");
                continue;
            }
        };
        let readiness = Rc::clone(&readiness);
        spawn_local(async move {
            let service = service_fn(move |_: Request<Incoming>| {
                let response = response(readiness.is_ready());
                async move { Ok::<_, Infallible>(response) }
            });
            // An error affects only the client of this connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn response(ready: bool) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

//! HTTP port for controlling the relay: `PUT /cuts` replaces the cuts. The body
//! has one cut per line, as two networks such as `127.20.1 127.20.2`.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexSet;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::relay::Cut;
use crate::relay::Network;
use crate::relay::Relay;

/// Serves requests on `listener`; never returns.
pub async fn serve(relay: Rc<Relay>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let relay = relay.clone();
        let service = service_fn(move |req| handle_request(relay.clone(), req));
        spawn_local(async move {
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle_request(
    relay: Rc<Relay>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if (req.method(), req.uri().path()) != (&Method::PUT, "/cuts") {
        return Ok(empty_response(StatusCode::NOT_FOUND));
    }
    let Ok(body) = req.into_body().collect().await else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let Some(cuts) = parse_cuts(&text) else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    relay.set_cuts(cuts);
    Ok(empty_response(StatusCode::OK))
}

/// Parses cuts, one per line; blank lines are skipped. Returns none when a line
/// is malformed.
pub fn parse_cuts(text: &str) -> Option<IndexSet<Cut>> {
    let lines = text.lines().filter(|line| !line.trim().is_empty());
    lines
        .map(|line| {
            let (a, b) = line.trim().split_once(' ')?;
            Some(Cut::between(parse_network(a)?, parse_network(b)?))
        })
        .collect()
}

fn parse_network(text: &str) -> Option<Network> {
    let parts: Option<Vec<u8>> = text.trim().split('.').map(|p| p.parse().ok()).collect();
    parts?.try_into().ok()
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}

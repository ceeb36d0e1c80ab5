//! HTTP server for the metrics of the process, in the Prometheus text format.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::Metrics;

/// Content type of the Prometheus text format.
const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Answers every request with the metrics, whatever its path. Must run inside a
/// `LocalSet`.
///
/// # Errors
///
/// The listener failed.
pub async fn serve(listener: TcpListener, metrics: Metrics) -> io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let metrics = metrics.clone();
        spawn_local(async move {
            let service = service_fn(move |_: hyper::Request<Incoming>| {
                let text = metrics.render();
                async move { Ok::<_, Infallible>(response(text)) }
            });
            // An error, such as a client that disconnects early, concerns only
            // this connection.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn response(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(CONTENT_TYPE),
    );
    response
}

//! Accepts connections from other agents and serves the requests that they
//! forward to this one.
//!
//! Only requests with a valid signature of another agent are served. A
//! connection carries one request.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics::counter;
use quick_error::quick_error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::context::RequestContext;
use super::guards::Origin;
use super::peer_auth;
use super::peer_auth::Challenge;
use super::response_body::ResponseBody;
use super::serve::serve;

/// Delay after a failed accept, so that a lack of file descriptors does not
/// cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a request on the port for other agents is not served.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    enum PeerError {
        /// It has no valid signature of another agent.
        InvalidSignature {
            display("request has no valid signature of another agent")
        }
    }
}

/// Interval at which claim messages that are due are sent to other agents.
const CLAIM_TICK_PERIOD: Duration = Duration::from_millis(100);

/// Serves the requests that other agents forward over `listener`, and runs the
/// timer that retries and renews the agent's claims of idempotency keys.
pub async fn serve_peers(cx: Rc<RequestContext>, listener: TcpListener) {
    tokio::join!(accept_connections(&cx, listener), run_claim_timer(&cx));
}

async fn run_claim_timer(cx: &RequestContext) {
    loop {
        tokio::time::sleep(CLAIM_TICK_PERIOD).await;
        cx.tick();
    }
}

async fn accept_connections(cx: &Rc<RequestContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let cx = cx.clone();
                tokio::task::spawn_local(async move {
                    if let Err(err) = serve_peer_connection(cx, stream).await {
                        log::debug!("connection from another agent failed: {err}");
                    }
                });
            }
            Err(err) => {
                log::warn!("can't accept a connection from another agent: {err}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer_connection(cx: Rc<RequestContext>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let challenge = cx.generate_challenge();
    stream.write_all(&challenge.0).await?;
    let service = service_fn(|req| serve_verified(cx.clone(), challenge, req));
    http1::Builder::new()
        .header_read_timeout(None)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service)
        .await
        .map_err(io::Error::other)
}

async fn serve_verified(
    cx: Rc<RequestContext>,
    challenge: Challenge,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, PeerError> {
    let (mut parts, body) = req.into_parts();
    let Some(sender) = peer_auth::verify_sender(&cx.cfg.key, challenge, cx.cfg.me, &parts) else {
        counter!("bramleyramp_forged_requests_total").increment(1);
        return Err(PeerError::InvalidSignature);
    };
    peer_auth::strip_headers(&mut parts.headers);
    let req = Request::from_parts(parts, body);
    Ok(serve(cx, Origin::Peer(sender), req).await)
}

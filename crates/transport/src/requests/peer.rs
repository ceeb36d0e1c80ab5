//! Requests that other agents hand on to this one.

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

use super::body::AnswerBody;
use super::context::RequestContext;
use super::handoff;
use super::handoff::Challenge;
use super::progress::Origin;
use super::serve::serve;

/// Wait after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

quick_error! {
    /// Why a request on the agents' own port is not served.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    enum PeerError {
        /// No agent of the system signed it.
        Forged {
            display("no agent of the system signed the request")
        }
    }
}

/// Time between two looks at what other agents have to hear again.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Serves requests that other agents hand on over `listener`, and keeps the
/// agent's claims of idempotency keys going.
pub async fn serve_peers(cx: Rc<RequestContext>, listener: TcpListener) {
    tokio::join!(accept_peers(&cx, listener), tick(&cx));
}

async fn tick(cx: &RequestContext) {
    loop {
        tokio::time::sleep(TICK_PERIOD).await;
        cx.tick();
    }
}

async fn accept_peers(cx: &Rc<RequestContext>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let cx = cx.clone();
                tokio::task::spawn_local(async move {
                    if let Err(err) = serve_peer(cx, stream).await {
                        log::debug!("connection of another agent ended: {err}");
                    }
                });
            }
            Err(err) => {
                log::warn!("can't accept a connection of another agent: {err}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_peer(cx: Rc<RequestContext>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let challenge = cx.next_challenge();
    stream.write_all(&challenge.0).await?;
    let service = service_fn(|req| serve_signed(cx.clone(), challenge, req));
    http1::Builder::new()
        .header_read_timeout(None)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service)
        .await
        .map_err(io::Error::other)
}

async fn serve_signed(
    cx: Rc<RequestContext>,
    challenge: Challenge,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, PeerError> {
    let (mut parts, body) = req.into_parts();
    let Some(sender) = handoff::signer(&cx.cfg.key, challenge, cx.cfg.me, &parts) else {
        counter!("bramleyramp_forged_requests_total").increment(1);
        return Err(PeerError::Forged);
    };
    handoff::strip(&mut parts.headers);
    let req = Request::from_parts(parts, body);
    Ok(serve(cx, Origin::Peer(sender), req).await)
}

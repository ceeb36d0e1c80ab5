//! Serves one caller's flow: an HTTP/1.1 server connection.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;

use hyper::rt::Read;
use hyper::rt::Write;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use ramp_state::outcome::FlowEnd;

use super::context::DrainStage;
use super::context::RequestContext;
use super::guards::Origin;
use super::serve::serve;

/// Serves the requests of one flow until either side closes it. When the agent
/// drains, the flow closes after the request in progress.
pub async fn serve_flow<I>(cx: Rc<RequestContext>, caller: SocketAddrV4, io: I) -> FlowEnd
where
    I: Read + Write + Unpin + 'static,
{
    cx.flow_opened();
    let end = run_connection(&cx, caller, io).await;
    cx.flow_ended();
    end
}

async fn run_connection<I>(cx: &Rc<RequestContext>, caller: SocketAddrV4, io: I) -> FlowEnd
where
    I: Read + Write + Unpin + 'static,
{
    let service = service_fn(|req| {
        let cx = cx.clone();
        async move { Ok::<_, Infallible>(serve(cx, Origin::Caller(caller), req).await) }
    });
    // No timeout on request heads, because an idle flow may stay open for hours.
    let conn = http1::Builder::new()
        .header_read_timeout(None)
        .serve_connection(io, service);
    let mut conn = pin!(conn);
    let ended = tokio::select! {
        ended = conn.as_mut() => ended,
        () = cx.wait_for_drain_stage(DrainStage::Draining) => {
            conn.as_mut().graceful_shutdown();
            tokio::select! {
                ended = conn => ended,
                () = cx.wait_for_drain_stage(DrainStage::Aborting) =>
                    return FlowEnd::DrainLimitPassed,
            }
        }
    };
    match ended {
        _ if !cx.router.borrow().is_reachable() => FlowEnd::GivenUp,
        Ok(()) => FlowEnd::Closed,
        Err(_) => FlowEnd::CallerLeft,
    }
}

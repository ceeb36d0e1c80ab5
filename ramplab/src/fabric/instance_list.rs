//! Keeps the fabric's balancers up to date from the platform's instance list, and
//! serves the fabric's packet counts over HTTP.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ini::Ini;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::fabric::Fabric;
use crate::http::send_request;

/// Time for which the platform holds a request when nothing has changed.
const LONG_POLL_WAIT_MS: u64 = 10_000;

/// Timeout of a request to the platform, longer than the long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay before the next request after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which a draining balancer still gets packets.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Balancers in the instance list, by state.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct BalancerList {
    /// Balancers in any other state than leaving.
    pub live: Vec<SocketAddrV4>,
    /// Balancers that are draining and about to be stopped.
    pub leaving: Vec<SocketAddrV4>,
}

impl BalancerList {
    /// Parses the instance list; sections that can't be parsed are skipped.
    pub fn parse(text: &str) -> BalancerList {
        let mut balancers = BalancerList::default();
        let Ok(doc) = Ini::load_from_str(text) else {
            return balancers;
        };
        for (_, section) in doc.iter() {
            if section.get("role") != Some("balancer") {
                continue;
            }
            let Some(address) = section.get("address").and_then(|a| a.parse().ok()) else {
                continue;
            };
            match section.get("state") {
                Some("leaving") => balancers.leaving.push(address),
                _ => balancers.live.push(address),
            }
        }
        balancers
    }
}

/// Updates the fabric's balancers by long polls of the instance list; never returns.
pub async fn follow_instance_list(fabric: Rc<Fabric>, platform: SocketAddr) {
    let mut version = 0;
    loop {
        let path = format!("/instances?after={version}&wait_ms={LONG_POLL_WAIT_MS}");
        let response =
            send_request(platform, Method::GET, &path, Bytes::new(), RESPONSE_TIMEOUT).await;
        match response {
            Ok(response) if response.status == StatusCode::OK => {
                version = response.version();
                apply(&fabric, BalancerList::parse(&response.text()));
            }
            Ok(response) if response.status == StatusCode::NOT_MODIFIED => {}
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

fn apply(fabric: &Rc<Fabric>, balancers: BalancerList) {
    let mut all = balancers.live.clone();
    all.extend(&balancers.leaving);
    fabric.set_balancers(all.clone());
    if balancers.leaving.is_empty() {
        return;
    }
    let fabric = fabric.clone();
    spawn_local(async move {
        tokio::time::sleep(DRAIN_GRACE).await;
        // If a newer list has been applied since, it has its own timer.
        if *fabric.balancers.borrow() == all {
            fabric.set_balancers(balancers.live);
        }
    });
}

/// Serves the packet counts as JSON on every path; never returns.
pub async fn serve_counts(fabric: Rc<Fabric>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let fabric = fabric.clone();
        let service = service_fn(move |_| {
            let body = Full::new(Bytes::from(fabric.counts().to_string()));
            async move { Ok::<_, std::convert::Infallible>(Response::new(body)) }
        });
        spawn_local(async move {
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

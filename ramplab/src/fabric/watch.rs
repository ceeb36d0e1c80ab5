//! The fabric's view of the platform's instance list, and its counts by HTTP.

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

/// Time a watch waits at the platform, in milliseconds.
const WATCH_MS: u64 = 10_000;

/// Time for an answer beyond the watch.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a leaving balancer still gets packets.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

/// Balancers that the instance list names.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Listed {
    /// To be kept.
    pub live: Vec<SocketAddrV4>,
    /// About to be stopped.
    pub leaving: Vec<SocketAddrV4>,
}

impl Listed {
    /// Reads the instance list, passing over what it can't read.
    pub fn read(text: &str) -> Listed {
        let mut listed = Listed::default();
        let Ok(doc) = Ini::load_from_str(text) else {
            return listed;
        };
        for (_, section) in doc.iter() {
            if section.get("role") != Some("balancer") {
                continue;
            }
            let Some(address) = section.get("address").and_then(|a| a.parse().ok()) else {
                continue;
            };
            match section.get("state") {
                Some("leaving") => listed.leaving.push(address),
                _ => listed.live.push(address),
            }
        }
        listed
    }
}

/// Follows the instance list for ever.
pub async fn follow(fabric: Rc<Fabric>, platform: SocketAddr) {
    let mut version = 0;
    loop {
        let path = format!("/instances?after={version}&wait_ms={WATCH_MS}");
        let answer = send_request(platform, Method::GET, &path, Bytes::new(), ANSWER_LIMIT).await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => {
                version = answer.version();
                apply(&fabric, Listed::read(&answer.text()));
            }
            Ok(answer) if answer.status == StatusCode::NOT_MODIFIED => {}
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn apply(fabric: &Rc<Fabric>, listed: Listed) {
    let mut all = listed.live.clone();
    all.extend(&listed.leaving);
    fabric.set_balancers(all.clone());
    if listed.leaving.is_empty() {
        return;
    }
    let fabric = fabric.clone();
    spawn_local(async move {
        tokio::time::sleep(LEAVING_GRACE).await;
        // A newer list has its own timer.
        if *fabric.balancers.borrow() == all {
            fabric.set_balancers(listed.live);
        }
    });
}

/// Answers `GET /counts` for ever.
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

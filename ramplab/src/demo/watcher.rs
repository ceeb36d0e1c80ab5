//! Watches the fleet from outside during a demo: which version each process
//! obeys, and whether packets still come to it.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use ramp_protocol::operator::Readiness;
use ramp_protocol::operator::Status;
use ramp_transport::operator::ask_status;

use crate::demo::layout::Node;
use crate::history::What;
use crate::history::Writer;
use crate::http::ask;

/// Time between two looks at a process.
const PERIOD: Duration = Duration::from_millis(250);

/// Time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Counters of packets and messages that came to a process.
const ARRIVALS: [&str; 3] = [
    "control_bytes_received_total",
    "agent_packets_received_total",
    "balancer_packets_received_total",
];

/// History that several tasks write.
pub type SharedWriter = Rc<RefCell<Writer>>;

/// Waits until the process takes traffic; false when it does not in time.
pub async fn until_serving(control: SocketAddrV4, limit: Duration) -> bool {
    let serving = async {
        loop {
            match ask_status(control, ANSWER_LIMIT).await {
                Ok(status) if status.readiness == Readiness::Serving => return,
                _ => tokio::time::sleep(PERIOD / 5).await,
            }
        }
    };
    tokio::time::timeout(limit, serving).await.is_ok()
}

/// Asks a process for its state.
pub async fn status(control: SocketAddrV4) -> Option<Status> {
    ask_status(control, ANSWER_LIMIT).await.ok()
}

/// Watches one process for ever.
pub async fn watch(node: Node, history: SharedWriter) {
    let mut arrived = None;
    loop {
        tokio::time::sleep(PERIOD).await;
        if let Some(status) = status(node.control).await {
            history.borrow_mut().write(What::ConfigSeen {
                process: node.name.clone(),
                version: status.config.0,
            });
        }
        let Some(count) = arrivals(node.metrics).await else {
            continue;
        };
        let before = arrived.replace(count);
        if before.is_some_and(|before| before < count) {
            history.borrow_mut().write(What::PacketAt {
                address: node.address.into(),
            });
        }
    }
}

async fn arrivals(metrics: SocketAddrV4) -> Option<u64> {
    let answer = ask(
        metrics.into(),
        Method::GET,
        "/metrics",
        Bytes::new(),
        ANSWER_LIMIT,
    )
    .await;
    Some(count_arrivals(&answer.ok()?.text()))
}

/// Sum of the arrivals' counters in a page of metrics.
pub fn count_arrivals(text: &str) -> u64 {
    let counters = text.lines().filter_map(|line| line.split_once(' '));
    counters
        .filter(|(name, _)| {
            let name = name.split('{').next().unwrap_or_default();
            ARRIVALS.contains(&name)
        })
        .filter_map(|(_, value)| value.parse::<u64>().ok())
        .sum()
}

//! Polls the status of balancers and agents during a demo: waits until one is
//! ready, and records which configuration version each has in force.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ramp_protocol::operator::Readiness;
use ramp_transport::operator::fetch_status;

use crate::demo::layout::Node;
use crate::history::EventData;
use crate::history::Writer;

/// Interval between status queries to one process.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of one status query.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// History file that several tasks on one thread write to.
pub type SharedWriter = Rc<RefCell<Writer>>;

/// Waits until the process serves traffic; returns false when it does not within
/// `timeout`.
pub async fn wait_until_serving(control: SocketAddrV4, timeout: Duration) -> bool {
    let serving = async {
        loop {
            match fetch_status(control, STATUS_TIMEOUT).await {
                Ok(status) if status.readiness == Readiness::Serving => return,
                _ => tokio::time::sleep(POLL_INTERVAL / 5).await,
            }
        }
    };
    tokio::time::timeout(timeout, serving).await.is_ok()
}

/// Records the configuration version of one process at each poll; runs until the
/// task is aborted.
pub async fn record_versions(node: Node, history: SharedWriter) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Ok(status) = fetch_status(node.control, STATUS_TIMEOUT).await else {
            continue;
        };
        // A process that holds traffic has no version in force yet.
        if status.readiness == Readiness::Held {
            continue;
        }
        history.borrow_mut().write(EventData::ConfigSeen {
            process: node.name.clone(),
            version: status.config.0,
        });
    }
}

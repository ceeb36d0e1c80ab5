//! Watches the fleet from outside during a demo: which version each process
//! obeys.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ramp_protocol::operator::Readiness;
use ramp_transport::operator::fetch_status;

use crate::demo::layout::Node;
use crate::history::EventData;
use crate::history::Writer;

/// Time between two looks at a process.
const PERIOD: Duration = Duration::from_millis(250);

/// Time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// History that several tasks write.
pub type SharedWriter = Rc<RefCell<Writer>>;

/// Waits until the process takes traffic; false when it does not in time.
pub async fn wait_until_serving(control: SocketAddrV4, limit: Duration) -> bool {
    let serving = async {
        loop {
            match fetch_status(control, ANSWER_LIMIT).await {
                Ok(status) if status.readiness == Readiness::Serving => return,
                _ => tokio::time::sleep(PERIOD / 5).await,
            }
        }
    };
    tokio::time::timeout(limit, serving).await.is_ok()
}

/// Watches one process for ever.
pub async fn record_versions(node: Node, history: SharedWriter) {
    loop {
        tokio::time::sleep(PERIOD).await;
        let Ok(status) = fetch_status(node.control, ANSWER_LIMIT).await else {
            continue;
        };
        // A process that holds traffic obeys no version yet.
        if status.readiness == Readiness::Held {
            continue;
        }
        history.borrow_mut().write(EventData::ConfigSeen {
            process: node.name.clone(),
            version: status.config.0,
        });
    }
}

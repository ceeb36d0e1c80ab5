//! Changes to a demo's fleet, made as operators make them: by publishing a new
//! fleet document or instance list to the platform. The changes that the check of
//! the invariants needs are recorded in the operators' history.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;

use crate::demo::documents;
use crate::demo::documents::DesiredState;
use crate::demo::layout::Layout;
use crate::demo::layout::Node;
use crate::demo::layout::Server;
use crate::demo::plan::Plan;
use crate::demo::status_poller::SharedWriter;
use crate::history::Change;
use crate::history::EventData;
use crate::http::send_request;

/// Timeout of a call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Publishes the desired state of the fleet and records the changes.
pub struct Operators<'a> {
    /// Services and data centres of the fleet.
    pub plan: &'a Plan,
    /// Addresses of the fleet.
    pub layout: &'a Layout,
    /// State to publish next; the methods change it.
    pub desired: DesiredState,
    /// Version of the fleet document published last.
    pub fleet_version: u64,
    /// Where the changes are recorded.
    pub history: SharedWriter,
}

impl Operators<'_> {
    /// Records all addresses of balancers and agents.
    pub fn record_addresses(&self) {
        let mut history = self.history.borrow_mut();
        for balancer in &self.layout.balancers {
            for address in addresses(balancer) {
                history.write(EventData::BalancerListed {
                    name: balancer.name.clone(),
                    address,
                    data_centre: balancer.data_centre.to_string(),
                });
            }
        }
        for Server { agent, .. } in &self.layout.servers {
            for address in addresses(agent) {
                history.write(EventData::AgentListed {
                    server: agent.name.clone(),
                    address,
                    data_centre: agent.data_centre.to_string(),
                });
            }
        }
    }

    /// Takes a data centre out of service: publishes the fleet document, then
    /// the instance list with its balancers as leaving.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the call.
    pub async fn take_data_centre_out(&mut self, data_centre: &str) -> io::Result<()> {
        self.desired.data_centre_out = Some(data_centre.to_string());
        let change = Change::DataCentreOut(data_centre.to_string());
        self.publish_fleet(change).await?;
        self.publish_instances(None).await
    }

    /// Brings the data centre that is out back into service; does nothing when
    /// none is out.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the call.
    pub async fn bring_data_centre_back(&mut self) -> io::Result<()> {
        let Some(data_centre) = self.desired.data_centre_out.take() else {
            return Ok(());
        };
        self.publish_fleet(Change::DataCentreIn(data_centre))
            .await?;
        self.publish_instances(None).await
    }

    /// Marks a backend server as leaving, so that it is drained.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the call.
    pub async fn drain_server(&mut self, server: &str) -> io::Result<()> {
        self.desired.leaving_server = Some(server.to_string());
        self.publish_fleet(Change::ServerLeaving(server.to_string()))
            .await
    }

    /// Adds a balancer that has started to the instance list.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the call.
    pub async fn add_balancer(&mut self, name: &str) -> io::Result<()> {
        self.desired
            .unlisted_balancers
            .retain(|absent| absent != name);
        let change = Change::BalancerJoins(name.to_string());
        self.publish_instances(Some(change)).await
    }

    /// Marks a balancer as leaving in the instance list.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the call.
    pub async fn mark_balancer_leaving(&mut self, name: &str) -> io::Result<()> {
        self.desired.leaving_balancers.push(name.to_string());
        let change = Change::BalancerLeaving(name.to_string());
        self.publish_instances(Some(change)).await
    }

    /// Removes a balancer that has exited from the instance list.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the call.
    pub async fn remove_balancer(&mut self, name: &str) -> io::Result<()> {
        self.desired.unlisted_balancers.push(name.to_string());
        self.publish_instances(None).await
    }

    /// Records that a process is about to be killed.
    pub fn record_kill(&self, process: &str) {
        let process = process.to_string();
        self.history
            .borrow_mut()
            .write(EventData::Killed { process });
    }

    /// Sets the mode of the platform: `up`, `down` or `stale VERSION`.
    ///
    /// # Errors
    ///
    /// When the platform does not accept the call.
    pub async fn set_platform_mode(&self, mode: &str) -> io::Result<()> {
        self.put("/mode", mode.to_string()).await.map(|_| ())
    }

    /// Publishes the same fleet document from two publishers at once; returns
    /// the higher version.
    ///
    /// # Errors
    ///
    /// When the platform does not accept one of the calls.
    pub async fn publish_concurrently(&self) -> io::Result<u64> {
        let text = documents::fleet(self.plan, self.layout, &self.desired);
        let (a, b) = tokio::try_join!(self.put("/fleet", text.clone()), self.put("/fleet", text))?;
        Ok(a.max(b))
    }

    async fn publish_fleet(&mut self, change: Change) -> io::Result<()> {
        let text = documents::fleet(self.plan, self.layout, &self.desired);
        let version = self.put("/fleet", text).await?;
        self.fleet_version = version;
        self.record(version, change);
        Ok(())
    }

    async fn publish_instances(&self, change: Option<Change>) -> io::Result<()> {
        let text = documents::instances(self.layout, &self.desired);
        let version = self.put("/instances", text).await?;
        if let Some(change) = change {
            self.record(version, change);
        }
        Ok(())
    }

    fn record(&self, version: u64, change: Change) {
        let what = EventData::Published { version, change };
        self.history.borrow_mut().write(what);
    }

    /// Sends a `PUT` to the platform; returns the version that it assigned, or
    /// zero when its response names none.
    async fn put(&self, path: &str, text: String) -> io::Result<u64> {
        let platform = self.layout.platform.into();
        let response = send_request(platform, Method::PUT, path, text, CALL_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            return Err(io::Error::other(format!("{path}: {}", response.text())));
        }
        Ok(response.version())
    }
}

/// The address that a node sends from, and the two under which it is listed.
fn addresses(node: &Node) -> [SocketAddr; 3] {
    [node.address, node.listed_address, node.listed_control].map(SocketAddr::from)
}

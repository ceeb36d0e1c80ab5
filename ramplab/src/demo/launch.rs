//! Starts the processes of a demo in the order in which they depend on each other:
//! the platform, the relay, the backend servers, the balancers and agents, the
//! fabric, and last the load generator. Before the load starts, all others have
//! reported that they are ready, except the backend servers, which report nothing.

use std::fs;
use std::io;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use tokio::time::Instant;

use crate::demo::documents;
use crate::demo::documents::DesiredState;
use crate::demo::layout::Node;
use crate::demo::plan::Timeline;
use crate::demo::run::Demo;
use crate::demo::status_poller;

/// Longest wait for one process to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

impl Demo {
    /// Starts all processes except the load generator and the balancer `spare`.
    pub(super) async fn start_fleet(
        &mut self,
        desired: &DesiredState,
        spare: &Node,
    ) -> io::Result<()> {
        let fleet = self.dir.file("fleet.ini");
        let instances = self.dir.file("instances.ini");
        fs::write(&fleet, documents::fleet(&self.plan, &self.layout, desired))?;
        fs::write(&instances, documents::instances(&self.layout, desired))?;
        let mut platform = Command::new(&self.options.ramplab);
        platform
            .args(["platform", "--listen"])
            .arg(self.layout.platform.to_string())
            .arg("--fleet")
            .arg(fleet)
            .arg("--instances")
            .arg(instances)
            .arg("--ready-file")
            .arg(self.dir.file("platform.ready"));
        self.children.start(&self.dir, "platform", &mut platform)?;
        self.wait_for_file("platform.ready").await?;
        self.start_relay()?;
        self.wait_for_file("relay.ready").await?;
        self.start_backends()?;
        let nodes: Vec<Node> = self.layout.nodes().cloned().collect();
        for node in nodes.iter().filter(|node| node.name != spare.name) {
            self.start_node(node)?;
        }
        self.start_fabric()?;
        self.wait_for_file("fabric.ready").await?;
        for node in nodes.iter().filter(|node| node.name != spare.name) {
            self.wait_until_serving(node).await?;
        }
        Ok(())
    }

    /// Starts the relay with the listed and bound addresses of all nodes.
    fn start_relay(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.options.ramplab);
        command
            .args(["relay", "--delay-ms"])
            .arg(self.plan.data_centre_delay_ms.to_string())
            .args(["--cuts", &self.layout.relay_control.to_string()])
            .arg("--history")
            .arg(self.dir.file("relay.history"))
            .arg("--ready-file")
            .arg(self.dir.file("relay.ready"));
        for node in self.layout.nodes() {
            if node.listed_address != node.address {
                let pair = format!("{}={}", node.listed_address, node.address);
                command.args(["--address", &pair]);
            }
            let pair = format!("{}={}", node.listed_control, node.control);
            command.args(["--control", &pair]);
        }
        self.children.start(&self.dir, "relay", &mut command)
    }

    fn start_backends(&mut self) -> io::Result<()> {
        for (number, server) in self.layout.servers.iter().enumerate() {
            let name = &server.agent.name;
            let mut command = Command::new(&self.options.ramplab);
            command
                .args(["backend", "--cold", "--listen"])
                .arg(server.backend.to_string())
                .args(["--name", name, "--service", server.service])
                .args(["--data-centre", server.agent.data_centre])
                .args(["--slots", &self.plan.slots.to_string()])
                .args(["--connections", &self.plan.connections.to_string()])
                .args(["--service-ms", &self.plan.service_time_ms.to_string()])
                .args(["--warm-after", &self.plan.warm_after.to_string()])
                .args(["--seed", &(self.options.seed + number as u64).to_string()])
                .arg("--history")
                .arg(self.dir.file(format!("{name}.history")));
            let process = format!("backend-{name}");
            self.children.start(&self.dir, &process, &mut command)?;
        }
        Ok(())
    }

    /// Writes the settings of a balancer or an agent and starts it.
    ///
    /// # Errors
    ///
    /// When the settings can't be written or the process can't be started.
    pub fn start_node(&mut self, node: &Node) -> io::Result<()> {
        let settings = self.dir.file(format!("{}.ini", node.name));
        fs::write(&settings, documents::settings(&self.layout, node))?;
        let is_balancer = self.layout.balancers.iter().any(|b| b.name == node.name);
        let role = if is_balancer { "balancer" } else { "agent" };
        let mut command = Command::new(&self.options.bramleyramp);
        command.args([role, "--settings"]).arg(settings);
        self.children.start(&self.dir, &node.name, &mut command)
    }

    fn start_fabric(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.options.ramplab);
        command
            .args([
                "fabric",
                "--packets",
                &self.layout.fabric_packets.to_string(),
            ])
            .args(["--platform", &self.layout.platform.to_string()])
            .args(["--counts", &self.layout.fabric_counts.to_string()])
            .args(["--seed", &self.options.seed.to_string()])
            .args(["--lose", &self.plan.packet_loss.to_string()])
            .args(["--delay-ms", &self.plan.caller_delay_ms.to_string()])
            .arg("--history")
            .arg(self.dir.file("fabric.history"))
            .arg("--ready-file")
            .arg(self.dir.file("fabric.ready"));
        for service in &self.plan.services {
            command.args(["--service", &format!("{}=127.0.0.1:0", service.address)]);
        }
        self.children.start(&self.dir, "fabric", &mut command)
    }

    /// Starts the load generator towards the local ports that the fabric has opened
    /// for the services.
    pub(super) fn start_load(&mut self) -> io::Result<()> {
        let plan = &self.plan;
        let warm_up = Timeline::for_load(self.options.load_time).open_feeds;
        let ready = fs::read_to_string(self.dir.file("fabric.ready"))?;
        let mut command = Command::new(&self.options.ramplab);
        command
            .args(["load", "--feeds", &plan.feeds.to_string()])
            .args(["--warm-up-ms", &warm_up.as_millis().to_string()])
            .args(["--claims-per-s", &plan.claims_per_s.to_string()])
            .args(["--uploads-per-s", &plan.uploads_per_s.to_string()])
            .args(["--balances-per-s", &plan.balances_per_s.to_string()])
            .args([
                "--seconds",
                &self.options.load_time.as_secs_f64().to_string(),
            ])
            .args(["--seed", &self.options.seed.to_string()])
            .arg("--history")
            .arg(self.dir.file("load.history"));
        for (service, line) in plan.services.iter().zip(ready.lines()) {
            let local = line.split(' ').next_back().unwrap_or_default();
            command.args(["--service", &format!("{}={local}", service.name)]);
        }
        // Its standard error is inherited, so that its progress appears on the
        // terminal.
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).spawn()?;
        self.children.add(&self.dir, "load", child);
        Ok(())
    }

    /// Waits until a process has written its ready file.
    async fn wait_for_file(&mut self, name: &str) -> io::Result<()> {
        let file = self.dir.file(name);
        let deadline = Instant::now() + START_TIMEOUT;
        while !file.exists() {
            self.children.check_running()?;
            if Instant::now() > deadline {
                return Err(io::Error::other(format!("timed out waiting for {name}")));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Waits until a balancer or an agent reports that it serves traffic.
    ///
    /// # Errors
    ///
    /// When it does not in time, or a process exits unexpectedly meanwhile.
    pub async fn wait_until_serving(&mut self, node: &Node) -> io::Result<()> {
        let serving = status_poller::wait_until_serving(node.control, START_TIMEOUT).await;
        self.children.check_running()?;
        if serving {
            return Ok(());
        }
        Err(io::Error::other(format!(
            "{} is not ready in time",
            node.name
        )))
    }
}

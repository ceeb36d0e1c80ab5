//! Injects the failure of each scenario, with the operators' changes that belong
//! to it, and takes the measurements.

use std::io;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::check::PROPAGATION_LIMIT_MS;
use crate::demo::layout::Node;
use crate::demo::operators::Operators;
use crate::demo::run::Demo;
use crate::trial::Scenario;
use crate::trial::figures;
use crate::trial::figures::Figures;

/// Fraction of the load's duration after which the failure is injected.
const FAILURE_AT_FRACTION: f64 = 0.25;

/// Time until operators remove a balancer that is dead or frozen from the
/// instance list.
const REMOVAL_DELAY: Duration = Duration::from_millis(1500);

/// How long a balancer is frozen so that it misses a change.
const BALANCER_FREEZE_TIME: Duration = Duration::from_secs(6);

/// How long an agent is frozen while nothing changes.
const AGENT_FREEZE_TIME: Duration = Duration::from_secs(3);

/// How long an agent is frozen so that it misses a change: longer than a change
/// may take to be in force everywhere.
const AGENT_FREEZE_TIME_WITH_CHANGE: Duration = Duration::from_millis(4500);

/// How long a data centre is cut off from the others.
const PARTITION_TIME: Duration = Duration::from_secs(4);

/// Time until the fabric sends no more packets to a balancer marked as leaving.
const FABRIC_UPDATE_TIME: Duration = Duration::from_millis(2500);

/// Timeout of a process's shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Pairs of versions that are published at the same time.
const PUBLISHED_PAIR_COUNT: u32 = 10;

/// Wait after each such pair.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time until a published change is in force at all processes.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(PROPAGATION_LIMIT_MS);

/// A trial that is being run.
pub struct Trial<'d, 'o, 'p> {
    demo: &'d mut Demo,
    operators: &'o mut Operators<'p>,
    /// What has been measured so far.
    pub figures: Figures,
}

impl<'d, 'o, 'p> Trial<'d, 'o, 'p> {
    /// Creates a trial on the running fleet of `demo`.
    pub fn new(demo: &'d mut Demo, operators: &'o mut Operators<'p>) -> Trial<'d, 'o, 'p> {
        Trial {
            demo,
            operators,
            figures: Figures::default(),
        }
    }

    /// Injects the failure part-way through the load, waits for the end of the
    /// load, and records the final versions.
    ///
    /// # Errors
    ///
    /// When a process can't be started or signalled, or the simulated platform
    /// or the relay does not accept a change.
    pub async fn run_scenario(&mut self, scenario: Scenario) -> io::Result<()> {
        let load_ends = Instant::now() + self.demo.load_time();
        sleep(self.demo.load_time().mul_f64(FAILURE_AT_FRACTION)).await;
        self.demo.log_progress(&scenario.to_string());
        match scenario {
            Scenario::AgentKilled => self.kill("ledger-2")?,
            Scenario::BalancerKilled => self.balancer_killed().await?,
            Scenario::BalancerFrozenOut => self.balancer_frozen_out().await?,
            Scenario::AgentFrozen => self.freeze_for("ledger-2", AGENT_FREEZE_TIME).await?,
            Scenario::AgentFrozenLeaving => self.agent_frozen_leaving().await?,
            Scenario::PlatformDownOut => self.platform_down_out().await?,
            Scenario::PlatformStale => self.platform_stale().await?,
            Scenario::Partition => self.partition().await?,
            Scenario::TwoPublishers => self.two_publishers().await?,
            Scenario::TwoAtOnce => self.two_at_once().await?,
        }
        tokio::time::sleep_until(load_ends).await;
        self.figures.published = self.operators.fleet_version;
        self.figures.last_versions = figures::config_versions(&self.running_nodes()).await;
        Ok(())
    }

    async fn balancer_killed(&mut self) -> io::Result<()> {
        self.kill("balancer-2")?;
        sleep(REMOVAL_DELAY).await;
        self.operators.remove_balancer("balancer-2").await
    }

    async fn balancer_frozen_out(&mut self) -> io::Result<()> {
        self.demo.children().freeze("balancer-2")?;
        // The plan has two balancers, so none that runs is in the third data centre.
        self.operators
            .take_data_centre_out(self.data_centre(2))
            .await?;
        sleep(REMOVAL_DELAY).await;
        // The packets that the fabric has sent until now are queued at the frozen
        // balancer.
        self.operators.remove_balancer("balancer-2").await?;
        sleep(BALANCER_FREEZE_TIME - REMOVAL_DELAY).await;
        self.demo.children().resume("balancer-2")
    }

    async fn agent_frozen_leaving(&mut self) -> io::Result<()> {
        self.demo.children().freeze("ledger-2")?;
        self.operators.drain_server("ledger-2").await?;
        sleep(AGENT_FREEZE_TIME_WITH_CHANGE).await;
        self.demo.children().resume("ledger-2")
    }

    async fn platform_down_out(&mut self) -> io::Result<()> {
        self.unlist_restarted_balancer().await?;
        self.operators
            .take_data_centre_out(self.data_centre(2))
            .await?;
        self.operators.set_platform_mode("down").await?;
        self.measure_propagation().await;
        self.restart_balancer().await
    }

    async fn platform_stale(&mut self) -> io::Result<()> {
        self.unlist_restarted_balancer().await?;
        self.operators.drain_server("ledger-2").await?;
        self.measure_propagation().await;
        self.operators.set_platform_mode("stale 1").await?;
        self.restart_balancer().await
    }

    async fn partition(&mut self) -> io::Result<()> {
        let cuts = "127.20.1 127.20.2\n127.20.1 127.20.3\n";
        self.demo.set_cuts(cuts.to_string()).await?;
        sleep(PARTITION_TIME).await;
        self.demo.set_cuts(String::new()).await
    }

    async fn two_publishers(&mut self) -> io::Result<()> {
        for _ in 0..PUBLISHED_PAIR_COUNT {
            self.operators.fleet_version = self.operators.publish_concurrently().await?;
            sleep(PUBLISH_INTERVAL).await;
        }
        self.measure_propagation().await;
        Ok(())
    }

    async fn two_at_once(&mut self) -> io::Result<()> {
        let spare = self.demo.spare_balancer();
        self.demo.start_node(&spare)?;
        self.demo.wait_until_serving(&spare).await?;
        self.operators.add_balancer(&spare.name).await?;
        self.operators.mark_balancer_leaving("balancer-2").await?;
        self.operators.set_platform_mode("down").await?;
        self.kill("ledger-2")?;
        sleep(FABRIC_UPDATE_TIME).await;
        let stopped = self
            .demo
            .children()
            .stop("balancer-2", STOP_TIMEOUT)
            .await?;
        if stopped {
            return Ok(());
        }
        Err(io::Error::other(
            "balancer-2 did not shut down cleanly in time",
        ))
    }

    /// Kills a process and records it in the operators' history.
    fn kill(&mut self, name: &str) -> io::Result<()> {
        self.operators.record_kill(name);
        self.demo.children().kill(name)
    }

    async fn freeze_for(&mut self, name: &str, time: Duration) -> io::Result<()> {
        self.demo.children().freeze(name)?;
        sleep(time).await;
        self.demo.children().resume(name)
    }

    /// Removes the balancer that is restarted later from the instance list: the
    /// fabric sends packets to every listed balancer, even while it is down.
    async fn unlist_restarted_balancer(&mut self) -> io::Result<()> {
        self.operators.mark_balancer_leaving("balancer-2").await?;
        sleep(FABRIC_UPDATE_TIME).await;
        self.operators.remove_balancer("balancer-2").await
    }

    /// Kills a balancer and starts it again; records the first version that it
    /// has in force.
    async fn restart_balancer(&mut self) -> io::Result<()> {
        let balancer = self.demo.layout().balancers[1].clone();
        self.kill(&balancer.name)?;
        self.demo.start_node(&balancer)?;
        self.demo.wait_until_serving(&balancer).await?;
        self.figures.restarted_with = figures::config_version(&balancer).await;
        Ok(())
    }

    /// Measures how long the newest fleet version takes to be in force at all
    /// processes that run.
    async fn measure_propagation(&mut self) {
        let version = self.operators.fleet_version;
        self.figures.in_force_ms =
            figures::propagation_time_ms(&self.running_nodes(), version, PROPAGATION_LIMIT).await;
    }

    fn data_centre(&self, number: usize) -> &'static str {
        self.operators.plan.data_centres[number]
    }

    /// Balancers and agents that have been neither killed nor stopped.
    fn running_nodes(&mut self) -> Vec<Node> {
        let nodes: Vec<Node> = self.demo.layout().nodes().cloned().collect();
        let children = self.demo.children();
        let running = nodes.into_iter().filter(|n| children.contains(&n.name));
        running.collect()
    }
}

//! How each failure is brought about.

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

/// Share of the load after which the failure comes.
const FAILS_AT: f64 = 0.25;

/// Time until operators take a dead balancer off the list.
const NOTICED_AFTER: Duration = Duration::from_millis(1500);

/// Sleep of a balancer that misses a change.
const LONG_SLEEP: Duration = Duration::from_secs(6);

/// Sleep of an agent that misses nothing.
const SHORT_SLEEP: Duration = Duration::from_secs(3);

/// Sleep of an agent that misses a change, longer than the change may take.
const MISSING_SLEEP: Duration = Duration::from_millis(4500);

/// Time for which a data centre is cut off.
const CUT_TIME: Duration = Duration::from_secs(4);

/// Time for the fabric to leave a leaving balancer alone.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// Time for a process to end when asked.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Pairs of publications that are made at once.
const PAIRS: u32 = 10;

/// Time between two pairs.
const PAIR_PERIOD: Duration = Duration::from_millis(300);

/// Time for a change to be in force.
const IN_FORCE: Duration = Duration::from_millis(PROPAGATION_LIMIT_MS);

/// A trial under way.
pub struct Trial<'d, 'o, 'p> {
    demo: &'d mut Demo,
    operators: &'o mut Operators<'p>,
    /// What it has measured.
    pub figures: Figures,
}

impl<'d, 'o, 'p> Trial<'d, 'o, 'p> {
    /// Trial on the fleet of `demo`.
    pub fn new(demo: &'d mut Demo, operators: &'o mut Operators<'p>) -> Trial<'d, 'o, 'p> {
        Trial {
            demo,
            operators,
            figures: Figures::default(),
        }
    }

    /// Brings the failure about.
    ///
    /// # Errors
    ///
    /// When a process can't be started or signalled, or a stand-in does not
    /// take a change.
    pub async fn run_scenario(&mut self, scenario: Scenario) -> io::Result<()> {
        let ends = Instant::now() + self.demo.load_time();
        sleep(self.demo.load_time().mul_f64(FAILS_AT)).await;
        self.demo.log_progress(&scenario.to_string());
        match scenario {
            Scenario::AgentKilled => self.kill("ledger-2")?,
            Scenario::BalancerKilled => self.balancer_killed().await?,
            Scenario::BalancerFrozenOut => self.balancer_frozen_out().await?,
            Scenario::AgentFrozen => self.sleep_through("ledger-2", SHORT_SLEEP).await?,
            Scenario::AgentFrozenLeaving => self.agent_frozen_leaving().await?,
            Scenario::PlatformDownOut => self.platform_down_out().await?,
            Scenario::PlatformStale => self.platform_stale().await?,
            Scenario::Partition => self.partition().await?,
            Scenario::TwoPublishers => self.two_publishers().await?,
            Scenario::TwoAtOnce => self.two_at_once().await?,
        }
        tokio::time::sleep_until(ends).await;
        self.figures.published = self.operators.fleet_version;
        self.figures.last_versions = figures::config_versions(&self.alive()).await;
        Ok(())
    }

    async fn balancer_killed(&mut self) -> io::Result<()> {
        self.kill("balancer-2")?;
        sleep(NOTICED_AFTER).await;
        self.operators.remove_balancer("balancer-2").await
    }

    async fn balancer_frozen_out(&mut self) -> io::Result<()> {
        self.demo.children().freeze("balancer-2")?;
        // No balancer stands in the third.
        self.operators
            .take_data_centre_out(self.data_centre(2))
            .await?;
        sleep(NOTICED_AFTER).await;
        // The packets that came until now wait for it.
        self.operators.remove_balancer("balancer-2").await?;
        sleep(LONG_SLEEP - NOTICED_AFTER).await;
        self.demo.children().resume("balancer-2")
    }

    async fn agent_frozen_leaving(&mut self) -> io::Result<()> {
        self.demo.children().freeze("ledger-2")?;
        self.operators.drain_server("ledger-2").await?;
        sleep(MISSING_SLEEP).await;
        self.demo.children().resume("ledger-2")
    }

    async fn platform_down_out(&mut self) -> io::Result<()> {
        self.unlist_restarted_balancer().await?;
        self.operators
            .take_data_centre_out(self.data_centre(2))
            .await?;
        self.operators.set_platform_mode("down").await?;
        self.measure_in_force().await;
        self.restart_balancer().await
    }

    async fn platform_stale(&mut self) -> io::Result<()> {
        self.unlist_restarted_balancer().await?;
        self.operators.drain_server("ledger-2").await?;
        self.measure_in_force().await;
        self.operators.set_platform_mode("stale 1").await?;
        self.restart_balancer().await
    }

    async fn partition(&mut self) -> io::Result<()> {
        let cuts = "127.20.1 127.20.2\n127.20.1 127.20.3\n";
        self.demo.set_cuts(cuts.to_string()).await?;
        sleep(CUT_TIME).await;
        self.demo.set_cuts(String::new()).await
    }

    async fn two_publishers(&mut self) -> io::Result<()> {
        for _ in 0..PAIRS {
            self.operators.fleet_version = self.operators.publish_concurrently().await?;
            sleep(PAIR_PERIOD).await;
        }
        self.measure_in_force().await;
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
        sleep(LEAVE_TIME).await;
        let ended = self.demo.children().stop("balancer-2", STOP_LIMIT).await?;
        if ended {
            return Ok(());
        }
        Err(io::Error::other("balancer-2 did not end well"))
    }

    /// Kills a process as operators would note it.
    fn kill(&mut self, name: &str) -> io::Result<()> {
        self.operators.record_kill(name);
        self.demo.children().kill(name)
    }

    async fn sleep_through(&mut self, name: &str, time: Duration) -> io::Result<()> {
        self.demo.children().freeze(name)?;
        sleep(time).await;
        self.demo.children().resume(name)
    }

    /// Takes the balancer that restarts later off the list: the fabric sends
    /// packets to all that are listed, also while they are down.
    async fn unlist_restarted_balancer(&mut self) -> io::Result<()> {
        self.operators.mark_balancer_leaving("balancer-2").await?;
        sleep(LEAVE_TIME).await;
        self.operators.remove_balancer("balancer-2").await
    }

    /// Kills a balancer and starts it anew; notes what it obeys first.
    async fn restart_balancer(&mut self) -> io::Result<()> {
        let balancer = self.demo.layout().balancers[1].clone();
        self.kill(&balancer.name)?;
        self.demo.start_node(&balancer)?;
        self.demo.wait_until_serving(&balancer).await?;
        self.figures.restarted_with = figures::config_version(&balancer).await;
        Ok(())
    }

    async fn measure_in_force(&mut self) {
        let version = self.operators.fleet_version;
        self.figures.in_force_ms =
            figures::propagation_time_ms(&self.alive(), version, IN_FORCE).await;
    }

    fn data_centre(&self, number: usize) -> &'static str {
        self.operators.plan.data_centres[number]
    }

    /// Balancers and agents that run.
    fn alive(&mut self) -> Vec<Node> {
        let nodes: Vec<Node> = self.demo.layout().nodes().cloned().collect();
        let children = self.demo.children();
        let running = nodes.into_iter().filter(|n| children.has(&n.name));
        running.collect()
    }
}

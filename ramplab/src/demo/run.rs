//! Runs a whole demo: starts the fleet, applies load, makes the planned changes,
//! stops all processes, and checks their histories against the invariants.

use std::cell::RefCell;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::check::CheckReport;
use crate::check::check_history;
use crate::demo::children::Children;
use crate::demo::children::WorkDir;
use crate::demo::documents::DesiredState;
use crate::demo::layout::Layout;
use crate::demo::layout::Node;
use crate::demo::operators::Operators;
use crate::demo::plan::Plan;
use crate::demo::plan::Timeline;
use crate::demo::status_poller;
use crate::history;
use crate::history::Writer;
use crate::http::send_request;

/// Wait between the start of the fleet and the load. Agents that have just
/// started can't tell whether an idempotency key made earlier was already used.
const LOAD_START_DELAY: Duration = Duration::from_millis(5500);

/// Longest time that the load generator may run past the load's duration.
const LOAD_EXIT_TIMEOUT: Duration = Duration::from_secs(12);

/// Timeout of a process's shutdown. A balancer keeps forwarding for some seconds,
/// since the fabric may still send packets to it.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Time until the fabric sends no more packets to a balancer marked as leaving.
const FABRIC_UPDATE_TIME: Duration = Duration::from_millis(2500);

/// Options of a demo's run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of the load.
    pub load_time: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Path of the `bramleyramp` program, which is tested.
    pub bramleyramp: PathBuf,
    /// Path of the `ramplab` program, which simulates everything around it.
    pub ramplab: PathBuf,
    /// Whether the logs and histories are kept after the run.
    pub keep: bool,
}

/// Result of a demo.
#[derive(Debug)]
pub struct Outcome {
    /// Result of checking the histories against the invariants.
    pub check_report: CheckReport,
    /// Output of `bramleyramp report`; `None` when it printed nothing.
    pub report: Option<String>,
    /// Processes that exited late or without success when stopped.
    pub unclean_exits: Vec<String>,
}

/// A demo that is being run.
///
/// The order of fields matters: `children` is dropped before `dir`, so that all
/// processes are killed before their files are deleted.
pub struct Demo {
    pub(super) plan: Plan,
    pub(super) options: Options,
    pub(super) layout: Layout,
    pub(super) children: Children,
    unclean_exits: Vec<String>,
    pub(super) dir: WorkDir,
    started: Instant,
}

impl Demo {
    /// Allocates addresses and the working directory; starts no process.
    ///
    /// # Errors
    ///
    /// When no free port is found or the directory can't be created.
    pub fn new(plan: Plan, options: Options) -> io::Result<Demo> {
        Ok(Demo {
            layout: Layout::allocate(&plan)?,
            dir: WorkDir::create(options.keep)?,
            children: Children::default(),
            unclean_exits: Vec::new(),
            started: Instant::now(),
            plan,
            options,
        })
    }

    /// Directory with the logs, histories and documents.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Addresses of all processes.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// The processes that run.
    pub fn children(&mut self) -> &mut Children {
        &mut self.children
    }

    /// Duration of the load.
    pub fn load_time(&self) -> Duration {
        self.options.load_time
    }

    /// The balancer that is not started with the fleet but joins later.
    pub fn spare_balancer(&self) -> Node {
        self.layout.balancers[self.plan.balancers].clone()
    }

    /// Replaces the cuts between data centres, in the format of the relay's
    /// `PUT /cuts`; an empty text removes all cuts.
    ///
    /// # Errors
    ///
    /// When the relay does not accept them.
    pub async fn set_cuts(&self, cuts: String) -> io::Result<()> {
        let relay = self.layout.relay_control.into();
        let response = send_request(relay, Method::PUT, "/cuts", cuts, STOP_TIMEOUT).await?;
        if response.status != StatusCode::OK {
            return Err(io::Error::other("the relay refused the cuts"));
        }
        Ok(())
    }

    /// Runs the demo with its planned changes.
    ///
    /// # Errors
    ///
    /// When a process does not start or exits unexpectedly, or the platform does
    /// not accept a change.
    pub async fn run(&mut self) -> io::Result<Outcome> {
        self.run_with_changes(Demo::make_planned_changes).await
    }

    /// Runs the fleet under load while `changes` are made, then checks the
    /// histories against the invariants.
    ///
    /// # Errors
    ///
    /// Those of [`Demo::run`] and of the changes.
    pub async fn run_with_changes(
        &mut self,
        changes: impl AsyncFnOnce(&mut Demo, &mut Operators<'_>) -> io::Result<()>,
    ) -> io::Result<Outcome> {
        let layout = self.layout.clone();
        let plan = self.plan.clone();
        let spare = self.spare_balancer();
        let writer = Writer::create(&self.dir.file("operators.history"), "operators")?;
        let mut operators = Operators {
            plan: &plan,
            layout: &layout,
            desired: DesiredState {
                unlisted_balancers: vec![spare.name.clone()],
                ..DesiredState::default()
            },
            fleet_version: 1,
            history: Rc::new(RefCell::new(writer)),
        };
        operators.record_addresses();
        self.start_fleet(&operators.desired, &spare).await?;
        let mut pollers = JoinSet::new();
        for node in layout.nodes() {
            let history = operators.history.clone();
            pollers.spawn_local(status_poller::record_versions(node.clone(), history));
        }
        tokio::time::sleep(LOAD_START_DELAY).await;
        self.log_progress("the fleet is ready; starting the load");
        self.start_load()?;
        let load_ends = Instant::now() + self.options.load_time;
        changes(self, &mut operators).await?;
        tokio::time::sleep_until(load_ends).await;
        self.children.wait("load", LOAD_EXIT_TIMEOUT).await?;
        self.log_progress("the load has ended");
        pollers.abort_all();
        let report = self.report();
        self.log_progress("stopping all processes");
        let failed = self.children.stop_all(STOP_TIMEOUT).await?;
        self.unclean_exits.extend(failed);
        Ok(Outcome {
            check_report: self.check_histories()?,
            report,
            unclean_exits: self.unclean_exits.clone(),
        })
    }

    /// Makes the planned changes at their times in the [`Timeline`].
    async fn make_planned_changes(&mut self, operators: &mut Operators<'_>) -> io::Result<()> {
        let spare = self.spare_balancer();
        let started = Instant::now();
        let times = Timeline::for_load(self.options.load_time);
        let out = self.plan.data_centres[1];
        let drained = self.layout.servers[0].agent.name.clone();
        let replaced = self.layout.balancers[0].name.clone();

        self.begin_step(
            started + times.take_data_centre_out,
            &format!("taking {out} out"),
        )
        .await?;
        operators.take_data_centre_out(out).await?;
        // The servers of a data centre that is out are usually restarted, so they
        // come back cold.
        tokio::time::sleep_until(
            started + (times.take_data_centre_out + times.bring_data_centre_back) / 2,
        )
        .await;
        self.restart_cold(out).await;
        self.begin_step(
            started + times.bring_data_centre_back,
            &format!("bringing {out} back"),
        )
        .await?;
        operators.bring_data_centre_back().await?;
        self.begin_step(started + times.drain_server, &format!("draining {drained}"))
            .await?;
        operators.drain_server(&drained).await?;

        let description = format!("replacing {replaced} by {}", spare.name);
        self.begin_step(started + times.replace_balancer, &description)
            .await?;
        self.start_node(&spare)?;
        self.wait_until_serving(&spare).await?;
        operators.add_balancer(&spare.name).await?;
        operators.mark_balancer_leaving(&replaced).await?;
        tokio::time::sleep(FABRIC_UPDATE_TIME).await;
        if !self.children.stop(&replaced, STOP_TIMEOUT).await? {
            self.unclean_exits.push(replaced.clone());
        }
        operators.remove_balancer(&replaced).await?;
        self.children.check_running()
    }

    /// Waits until `time`, logs the step that is due, and checks that no process
    /// has exited unexpectedly.
    async fn begin_step(&mut self, time: Instant, description: &str) -> io::Result<()> {
        tokio::time::sleep_until(time).await;
        self.log_progress(description);
        self.children.check_running()
    }

    /// Prints a step and the time since the start of the demo to standard error.
    pub fn log_progress(&self, description: &str) {
        eprintln!(
            "{:>5.1} s  demo: {description}",
            self.started.elapsed().as_secs_f64()
        );
    }

    /// Makes the servers of a data centre cold, as after a restart.
    async fn restart_cold(&self, data_centre: &str) {
        let servers = self.layout.servers.iter();
        for server in servers.filter(|s| s.agent.data_centre == data_centre) {
            let to = server.backend.into();
            let _ = send_request(to, Method::PUT, "/cold", Bytes::new(), STOP_TIMEOUT).await;
        }
    }

    /// Output of `bramleyramp report`, if it prints any.
    fn report(&self) -> Option<String> {
        let output = Command::new(&self.options.bramleyramp)
            .args(["report", "--platform", &self.layout.platform.to_string()])
            .stdin(Stdio::null())
            .output()
            .ok()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (!text.is_empty()).then_some(text)
    }

    /// Merges the histories of all processes and checks them against the
    /// invariants.
    fn check_histories(&self) -> io::Result<CheckReport> {
        let mut histories = Vec::new();
        for entry in fs::read_dir(self.dir.path())? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == "history") {
                histories.push(history::read(&path)?);
            }
        }
        Ok(check_history(&history::merge(histories)))
    }
}

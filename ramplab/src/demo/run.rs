//! A whole demo from the first process to the last.

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

/// Agents that just started can't tell whether a key made earlier was used.
const KEYS_KNOWN_AFTER: Duration = Duration::from_millis(5500);

/// Time for the load to end after its span.
const LOAD_END_LIMIT: Duration = Duration::from_secs(12);

/// Time for a process to end when asked; a balancer goes on for some seconds,
/// since the fabric may send to it still.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Time for the fabric to leave a leaving balancer alone.
const LEAVE_TIME: Duration = Duration::from_millis(2500);

/// How a demo is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time for which load is sent.
    pub load_time: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// The program under trial.
    pub bramleyramp: PathBuf,
    /// This program.
    pub ramplab: PathBuf,
    /// Whether the files are kept.
    pub keep: bool,
}

/// What a demo showed.
#[derive(Debug)]
pub struct Outcome {
    /// Judgement over its history.
    pub check_report: CheckReport,
    /// The report of the program, if it gave one.
    pub report: Option<String>,
    /// Processes that did not end well when asked.
    pub unclean_exits: Vec<String>,
}

/// A demo under way. Its processes are ended before its directory goes.
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
    /// Prepares a demo; starts nothing.
    ///
    /// # Errors
    ///
    /// When ports or the directory can't be had.
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

    /// Directory of its files.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Addresses of its fleet.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Its processes.
    pub fn children(&mut self) -> &mut Children {
        &mut self.children
    }

    /// Time for which load is sent.
    pub fn load_time(&self) -> Duration {
        self.options.load_time
    }

    /// The balancer that joins later.
    pub fn spare_balancer(&self) -> Node {
        self.layout.balancers[self.plan.balancers].clone()
    }

    /// Replaces the cuts between data centres, as `PUT /cuts` takes them.
    ///
    /// # Errors
    ///
    /// When the relay does not take them.
    pub async fn set_cuts(&self, cuts: String) -> io::Result<()> {
        let relay = self.layout.relay_control.into();
        let answer = send_request(relay, Method::PUT, "/cuts", cuts, STOP_LIMIT).await?;
        if answer.status != StatusCode::OK {
            return Err(io::Error::other("the relay takes no cuts"));
        }
        Ok(())
    }

    /// Runs it to its end.
    ///
    /// # Errors
    ///
    /// When a process does not start or ends by itself, or the platform does
    /// not take a change.
    pub async fn run(&mut self) -> io::Result<Outcome> {
        self.run_with_changes(Demo::make_planned_changes).await
    }

    /// Runs the fleet under load while `changes` are made, and judges it.
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
        let mut watchers = JoinSet::new();
        for node in layout.nodes() {
            let history = operators.history.clone();
            watchers.spawn_local(status_poller::record_versions(node.clone(), history));
        }
        tokio::time::sleep(KEYS_KNOWN_AFTER).await;
        self.log_progress("the fleet serves; load begins");
        self.start_load()?;
        let load_ends = Instant::now() + self.options.load_time;
        changes(self, &mut operators).await?;
        tokio::time::sleep_until(load_ends).await;
        self.children.wait("load", LOAD_END_LIMIT).await?;
        self.log_progress("the load has ended");
        watchers.abort_all();
        let report = self.report();
        self.log_progress("asks all processes to end");
        let failed = self.children.stop_all(STOP_LIMIT).await?;
        self.unclean_exits.extend(failed);
        Ok(Outcome {
            check_report: self.check_histories()?,
            report,
            unclean_exits: self.unclean_exits.clone(),
        })
    }

    /// Makes the planned changes, each at its time.
    async fn make_planned_changes(&mut self, operators: &mut Operators<'_>) -> io::Result<()> {
        let spare = self.spare_balancer();
        let started = Instant::now();
        let times = Timeline::for_load(self.options.load_time);
        let out = self.plan.data_centres[1];
        let drained = self.layout.servers[0].agent.name.clone();
        let replaced = self.layout.balancers[0].name.clone();

        self.until(started + times.data_centre_out, &format!("takes {out} out"))
            .await?;
        operators.take_data_centre_out(out).await?;
        // Its servers restart meanwhile, as they would.
        tokio::time::sleep_until(started + (times.data_centre_out + times.data_centre_back) / 2)
            .await;
        self.restart_cold(out).await;
        self.until(
            started + times.data_centre_back,
            &format!("brings {out} back"),
        )
        .await?;
        operators.bring_data_centre_back().await?;
        self.until(started + times.drain_server, &format!("drains {drained}"))
            .await?;
        operators.drain_server(&drained).await?;

        let label = format!("replaces {replaced} by {}", spare.name);
        self.until(started + times.replace_balancer, &label).await?;
        self.start_node(&spare)?;
        self.wait_until_serving(&spare).await?;
        operators.add_balancer(&spare.name).await?;
        operators.mark_balancer_leaving(&replaced).await?;
        tokio::time::sleep(LEAVE_TIME).await;
        if !self.children.stop(&replaced, STOP_LIMIT).await? {
            self.unclean_exits.push(replaced.clone());
        }
        operators.remove_balancer(&replaced).await?;
        self.children.check()
    }

    async fn until(&mut self, moment: Instant, label: &str) -> io::Result<()> {
        tokio::time::sleep_until(moment).await;
        self.log_progress(label);
        self.children.check()
    }

    /// Tells what happens.
    pub fn log_progress(&self, label: &str) {
        eprintln!(
            "{:>5.1} s  demo: {label}",
            self.started.elapsed().as_secs_f64()
        );
    }

    async fn restart_cold(&self, data_centre: &str) {
        let servers = self.layout.servers.iter();
        for server in servers.filter(|s| s.agent.data_centre == data_centre) {
            let to = server.backend.into();
            let _ = send_request(to, Method::PUT, "/cold", Bytes::new(), STOP_LIMIT).await;
        }
    }

    /// Text of the program's report, if it has one.
    fn report(&self) -> Option<String> {
        let output = Command::new(&self.options.bramleyramp)
            .args(["report", "--platform", &self.layout.platform.to_string()])
            .stdin(Stdio::null())
            .output()
            .ok()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (!text.is_empty()).then_some(text)
    }

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

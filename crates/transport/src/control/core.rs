//! Decision logic of the control thread. It does no input or output: each call
//! of [`Core::handle`] takes one input and returns the effects to carry out.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use ramp_coordination::configuration::Configuration;
use ramp_coordination::configuration::HoldOutcome;
use ramp_coordination::configuration::Output;
use ramp_coordination::configuration::platform_calls::CallId;
use ramp_coordination::configuration::platform_calls::PlatformCall;
use ramp_coordination::pause::PauseDetector;
use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PlatformReply;
use ramp_coordination::platform_reply::PublishedText;
use ramp_protocol::message::Message;
use ramp_protocol::operator::RefusedDocument;
use ramp_state::fleet::Fleet;
use ramp_state::instances::InstanceList;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::key::mix;
use ramp_state::ledger::Ledger;
use ramp_state::settings::Settings;
use ramp_state::time::Millis;

use crate::control::instances::InstanceListPoller;
use crate::control::role::Role;
use crate::control::role::RoleOutput;
use crate::control::socket::Received;

/// Minimum time between two version hints, whichever instance they go to.
const MIN_HINT_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a call to the platform or to a peer.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// The platform was asked for the fleet document.
    Fleet(CallId, Result<PlatformReply, PlatformCallError>),
    /// The platform was asked for the list of instances.
    Instances(Result<PlatformReply, PlatformCallError>),
    /// The peer at this control address was asked for the whole fleet document.
    Document(SocketAddrV4, Result<PublishedText, PlatformCallError>),
}

/// Input of the control thread.
pub enum Input<E> {
    /// A control message arrived.
    Message(Received),
    /// An event of the traffic thread.
    Traffic(E),
    /// A call in the background ended.
    CallResult(CallResult),
    /// No other input came for a while; due timers have to be handled.
    Tick,
    /// The process was asked to end.
    Shutdown,
}

/// Action that the control thread carries out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// Message to send.
        message: Message,
    },
    /// Ask the platform for the fleet document, and abort the earlier call for
    /// it if that is still in progress.
    FetchFleet {
        /// Replica to call.
        platform: SocketAddrV4,
        /// Id of the call, the known version, and how long the platform waits.
        call: PlatformCall,
    },
    /// Ask the platform for the list of instances.
    FetchInstances {
        /// Replica to call.
        platform: SocketAddrV4,
        /// Version that this process has; only a newer one is of use.
        after: Version,
    },
    /// Fetch the whole fleet document from a peer.
    FetchDocument {
        /// Control address of the peer.
        from: SocketAddrV4,
    },
    /// End the process.
    Exit,
}

/// State of the control thread.
pub struct Core<R> {
    pub(super) settings: Settings,
    pub(super) incarnation: Incarnation,
    pub(super) role: R,
    pub(super) ledger: Ledger,
    pub(super) configuration: Configuration,
    pub(super) now: Millis,
    pub(super) draining: bool,
    pub(super) started_at: Millis,
    pub(super) instances: InstanceListPoller,
    pub(super) last_platform_reply: Option<Millis>,
    pub(super) refused: Option<RefusedDocument>,
    pause_detector: PauseDetector,
    last_hint_at: Millis,
    effects: Vec<Effect>,
}

impl<R: Role> Core<R> {
    /// Creates the core of a process that starts at `now`.
    pub fn new(settings: Settings, incarnation: Incarnation, role: R, now: Millis) -> Core<R> {
        let id = InstanceId::of(&settings.name);
        let seed = mix(id.0 ^ incarnation.0);
        let configuration = Configuration::new(now, seed, id, role.kind(), settings.peers.clone());
        Core {
            settings,
            incarnation,
            role,
            ledger: Ledger::new(now),
            configuration,
            now,
            draining: false,
            started_at: now,
            instances: InstanceListPoller::new(seed),
            last_platform_reply: None,
            refused: None,
            pause_detector: PauseDetector::new(now),
            last_hint_at: now,
            effects: Vec::new(),
        }
    }

    /// Handles one input and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: Millis, input: Input<R::Event>) -> Vec<Effect> {
        self.now = now;
        if self.pause_detector.record_turn(now).is_some() {
            self.configuration.on_pause(now);
        }
        match input {
            Input::Message(received) => self.on_message(now, &received),
            Input::Traffic(event) => self.on_event(now, event),
            Input::CallResult(result) => self.on_call_result(now, result),
            Input::Tick => {}
            Input::Shutdown => self.begin_shutdown(now),
        }
        self.configuration.tick(now);
        self.apply_outputs(now);
        self.role.tick(now);
        self.configuration.set_members(now, self.role.peers());
        self.apply_outputs(now);
        self.poll_instances(now);
        self.collect_sends();
        if self.role.is_done(now) {
            self.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.effects)
    }

    /// Applies the outputs of the configuration logic.
    fn apply_outputs(&mut self, now: Millis) {
        while let Some(output) = self.configuration.next_output() {
            match output {
                Output::CallPlatform(call) => self.fetch_fleet(call),
                Output::Send { to, message } => self.send(to, message),
                Output::FetchDocument { from } => {
                    self.effects.push(Effect::FetchDocument { from });
                }
                Output::Install(fleet) => self.install(now, fleet),
                Output::DocumentRefused { version, faults } => {
                    let why = faults.to_string();
                    log::error!("fleet document {version} refused: {why}");
                    counter!("configuration_refused_total").increment(1);
                    self.refused = Some(RefusedDocument { version, why });
                }
                Output::HoldTraffic => log::warn!(
                    "process was paused; traffic is held until the configuration is confirmed"
                ),
                Output::ResumeTraffic(outcome) => self.resume(outcome),
            }
        }
    }

    fn install(&mut self, now: Millis, fleet: Arc<Fleet>) {
        log::info!("configuration {} in force", fleet.version);
        self.instances.set_server_count(now, fleet.servers.len());
        self.role.install(now, fleet);
    }

    fn resume(&mut self, outcome: HoldOutcome) {
        match outcome {
            HoldOutcome::Confirmed => log::info!("configuration confirmed; traffic resumes"),
            HoldOutcome::TimedOut => log::warn!("configuration not confirmed; traffic resumes"),
        }
        self.role.confirm();
    }

    fn fetch_fleet(&mut self, call: PlatformCall) {
        let platforms = &self.settings.platform_addresses;
        let Some(platform) = platforms.get(call.replica % platforms.len().max(1)) else {
            return;
        };
        self.effects.push(Effect::FetchFleet {
            platform: *platform,
            call,
        });
    }

    fn poll_instances(&mut self, now: Millis) {
        let Some(poll) = self.instances.next_due_poll(now) else {
            return;
        };
        let platforms = &self.settings.platform_addresses;
        let Some(platform) = platforms.get(poll.replica % platforms.len().max(1)) else {
            return;
        };
        self.effects.push(Effect::FetchInstances {
            platform: *platform,
            after: poll.after,
        });
    }

    fn collect_sends(&mut self) {
        for dispatch in self.role.take_sends() {
            self.send(dispatch.to, dispatch.message);
        }
    }

    fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    fn on_message(&mut self, now: Millis, received: &Received) {
        if !self.role.on_message(now, &received.envelope) {
            counter!("control_messages_refused_total", "reason" => "replayed").increment(1);
            return;
        }
        self.configuration
            .on_message(now, received.from, &received.envelope.message);
    }

    fn on_event(&mut self, now: Millis, event: R::Event) {
        match self.role.on_event(now, event) {
            RoleOutput::Handled => {}
            RoleOutput::Paused => self.configuration.on_pause(now),
            RoleOutput::Record(record) => self.ledger.add(now, &record),
            RoleOutput::RecordsLost(n) => self.ledger.add_lost(now, n),
            RoleOutput::StaleSender(sender) => self.send_version_hint(now, sender),
            RoleOutput::NewerConfig(version) => self.configuration.on_version_hint(now, version),
        }
    }

    /// Announces the version in force to an instance that uses an older one.
    fn send_version_hint(&mut self, now: Millis, sender: InstanceId) {
        // While traffic is held, this process's own version may be outdated.
        if self.configuration.is_held() || now.since(self.last_hint_at) < MIN_HINT_INTERVAL {
            return;
        }
        let Some(to) = self.instances.control_address(sender) else {
            return;
        };
        self.last_hint_at = now;
        let config = self.configuration.version();
        self.send(to, Message::Announce { config });
    }

    fn on_call_result(&mut self, now: Millis, call_result: CallResult) {
        match call_result {
            CallResult::Fleet(call, result) => {
                self.record_platform_result(now, "fleet document", &result);
                self.configuration.on_platform_reply(now, call, result);
            }
            CallResult::Instances(result) => {
                self.record_platform_result(now, "list of instances", &result);
                self.install_instances(now, result);
            }
            CallResult::Document(from, result) => self.configuration.on_document(now, from, result),
        }
    }

    fn record_platform_result(
        &mut self,
        now: Millis,
        what: &str,
        result: &Result<PlatformReply, PlatformCallError>,
    ) {
        match result {
            Ok(_) => self.last_platform_reply = Some(now),
            Err(failure) => log::warn!("platform call for the {what} failed: {failure}"),
        }
    }

    fn install_instances(&mut self, now: Millis, result: Result<PlatformReply, PlatformCallError>) {
        let Ok(PlatformReply::Newer(published)) = result else {
            return;
        };
        match InstanceList::parse(published.version, &published.text) {
            Ok(list) => {
                self.role.install_instances(now, &list);
                self.instances.update(list);
            }
            Err(faults) => log::error!("list of instances {} refused: {faults}", published.version),
        }
    }

    fn begin_shutdown(&mut self, now: Millis) {
        log::info!("asked to end; draining");
        self.draining = true;
        self.role.drain(now);
    }
}

//! Decisions of the control thread: one input in, effects out.

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

use crate::control::instances::InstancePoll;
use crate::control::role::News;
use crate::control::role::Role;
use crate::control::socket::Received;

/// Shortest time between two hints to processes that act by old configuration.
const HINT_PAUSE: Duration = Duration::from_millis(200);

/// How a call of the platform or of a peer ended.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The platform, asked for the fleet document.
    Fleet(CallId, Result<PlatformReply, PlatformCallError>),
    /// The platform, asked for the list of instances.
    Instances(Result<PlatformReply, PlatformCallError>),
    /// A peer, asked for the whole fleet document.
    Document(SocketAddrV4, Result<PublishedText, PlatformCallError>),
}

/// What comes to the control thread.
pub enum Input<E> {
    /// A control message.
    Message(Received),
    /// News of the traffic thread.
    Traffic(E),
    /// How a call ended.
    Answer(Answer),
    /// Time has passed.
    Turn,
    /// The process was asked to end.
    End,
}

/// What the control thread does.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// What is said.
        message: Message,
    },
    /// Call the platform for the fleet document; drop such a call in progress.
    FetchFleet {
        /// Replica to call.
        platform: SocketAddrV4,
        /// What to ask.
        call: PlatformCall,
    },
    /// Call the platform for the list of instances.
    FetchInstances {
        /// Replica to call.
        platform: SocketAddrV4,
        /// Version that is known.
        after: Version,
    },
    /// Fetch the whole fleet document of a peer.
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
    pub(super) instances: InstancePoll,
    pub(super) platform_heard: Option<Millis>,
    pub(super) refused: Option<RefusedDocument>,
    guard: PauseDetector,
    hinted_at: Millis,
    effects: Vec<Effect>,
}

impl<R: Role> Core<R> {
    /// Core of a process that starts at `now`.
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
            instances: InstancePoll::new(seed),
            platform_heard: None,
            refused: None,
            guard: PauseDetector::new(now),
            hinted_at: now,
            effects: Vec::new(),
        }
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Millis, input: Input<R::Event>) -> Vec<Effect> {
        self.now = now;
        if self.guard.record_turn(now).is_some() {
            self.configuration.on_pause(now);
        }
        match input {
            Input::Message(received) => self.message(now, &received),
            Input::Traffic(event) => self.traffic(now, event),
            Input::Answer(answer) => self.answer(now, answer),
            Input::Turn => {}
            Input::End => self.end(now),
        }
        self.configuration.tick(now);
        self.carry_out(now);
        self.role.tick(now);
        self.configuration.set_members(now, self.role.peers());
        self.carry_out(now);
        self.poll_instances(now);
        self.collect_sends();
        if self.role.is_done(now) {
            self.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.effects)
    }

    /// Carries out what the configuration wants done.
    fn carry_out(&mut self, now: Millis) {
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
                    log::error!("document {version} refused: {why}");
                    counter!("configuration_refused_total").increment(1);
                    self.refused = Some(RefusedDocument { version, why });
                }
                Output::HoldTraffic => log::warn!("woke late; traffic is held"),
                Output::ResumeTraffic(confirmation) => self.resume(confirmation),
            }
        }
    }

    fn install(&mut self, now: Millis, fleet: Arc<Fleet>) {
        log::info!("configuration {} in force", fleet.version);
        self.instances.set_servers(now, fleet.servers.len());
        self.role.install(now, fleet);
    }

    fn resume(&mut self, confirmation: HoldOutcome) {
        match confirmation {
            HoldOutcome::Confirmed => log::info!("configuration confirmed; traffic goes on"),
            HoldOutcome::TimedOut => log::warn!("nobody confirmed; traffic goes on"),
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
        let Some(poll) = self.instances.due(now) else {
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

    fn message(&mut self, now: Millis, received: &Received) {
        if !self.role.receive(now, &received.envelope) {
            counter!("control_messages_refused_total", "reason" => "replayed").increment(1);
            return;
        }
        self.configuration
            .on_message(now, received.from, &received.envelope.message);
    }

    fn traffic(&mut self, now: Millis, event: R::Event) {
        match self.role.event(now, event) {
            News::Done => {}
            News::WokeLate => self.configuration.on_pause(now),
            News::Record(record) => self.ledger.add(now, &record),
            News::RecordsLost(n) => self.ledger.add_lost(now, n),
            News::StaleSender(sender) => self.hint(now, sender),
            News::NewerConfig(version) => self.configuration.on_version_hint(now, version),
        }
    }

    /// Tells a process that acts by an old configuration of the newer one.
    fn hint(&mut self, now: Millis, sender: InstanceId) {
        // A process that holds does not know whether its own version is newest.
        if self.configuration.is_held() || now.since(self.hinted_at) < HINT_PAUSE {
            return;
        }
        let Some(to) = self.instances.control_of(sender) else {
            return;
        };
        self.hinted_at = now;
        let config = self.configuration.version();
        self.send(to, Message::Announce { config });
    }

    fn answer(&mut self, now: Millis, answer: Answer) {
        match answer {
            Answer::Fleet(call, result) => {
                self.note_platform(now, "fleet document", &result);
                self.configuration.on_platform_reply(now, call, result);
            }
            Answer::Instances(result) => {
                self.note_platform(now, "list of instances", &result);
                self.take_instances(now, result);
            }
            Answer::Document(from, result) => self.configuration.on_document(now, from, result),
        }
    }

    fn note_platform(
        &mut self,
        now: Millis,
        what: &str,
        result: &Result<PlatformReply, PlatformCallError>,
    ) {
        match result {
            Ok(_) => self.platform_heard = Some(now),
            Err(failure) => log::warn!("{what}: {failure}"),
        }
    }

    fn take_instances(&mut self, now: Millis, result: Result<PlatformReply, PlatformCallError>) {
        let Ok(PlatformReply::Newer(published)) = result else {
            return;
        };
        match InstanceList::parse(published.version, &published.text) {
            Ok(list) => {
                self.role.instances(now, &list);
                self.instances.take(list);
            }
            Err(faults) => log::error!("instances {} refused: {faults}", published.version),
        }
    }

    fn end(&mut self, now: Millis) {
        log::info!("asked to end; draining");
        self.draining = true;
        self.role.drain(now);
    }
}

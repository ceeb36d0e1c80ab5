//! Decisions of the control thread: one input in, effects out.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use ramp_coordination::published::Failure;
use ramp_coordination::published::Published;
use ramp_coordination::published::Reply;
use ramp_protocol::message::Message;
use ramp_state::fleet::Fleet;
use ramp_state::instances::InstanceList;
use ramp_state::key::Incarnation;
use ramp_state::key::Version;
use ramp_state::ledger::Ledger;
use ramp_state::settings::Settings;
use ramp_state::time::Millis;

use crate::control::role::News;
use crate::control::role::Role;
use crate::control::socket::Received;
use crate::platform::Topic;

/// Time for which the platform holds a watch without news.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed call of the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A call of the platform to be made.
#[derive(Clone, Debug)]
pub struct WatchCall {
    /// Replica to call.
    pub platform: SocketAddrV4,
    /// What to ask for.
    pub topic: Topic,
    /// Version that is known.
    pub after: Version,
    /// Time for which the platform may hold the call.
    pub wait: Duration,
    /// Time to let pass before the call.
    pub delay: Duration,
}

/// How a call of the platform ended.
#[derive(Clone, Debug)]
pub struct PlatformReply {
    /// What was asked for.
    pub topic: Topic,
    /// Answer or failure.
    pub result: Result<Reply, Failure>,
}

/// What comes to the control thread.
pub enum Input<E> {
    /// A control message.
    Message(Received),
    /// News of the traffic thread.
    Traffic(E),
    /// How a call of the platform ended.
    Platform(PlatformReply),
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
    /// Call the platform.
    Watch(WatchCall),
    /// End the process.
    Exit,
}

/// State of the control thread.
pub struct Core<R> {
    pub(super) settings: Settings,
    pub(super) incarnation: Incarnation,
    pub(super) role: R,
    pub(super) ledger: Ledger,
    pub(super) fleet: Option<Arc<Fleet>>,
    pub(super) now: Millis,
    pub(super) draining: bool,
    pub(super) started_at: Millis,
    pub(super) platform_calls: u64,
    pub(super) platform_heard: Option<Millis>,
    started: bool,
    instances: Version,
    effects: Vec<Effect>,
}

impl<R: Role> Core<R> {
    /// Core of a process that starts at `now`.
    pub fn new(settings: Settings, incarnation: Incarnation, role: R, now: Millis) -> Core<R> {
        Core {
            settings,
            incarnation,
            role,
            ledger: Ledger::new(now),
            fleet: None,
            now,
            draining: false,
            started_at: now,
            platform_calls: 0,
            platform_heard: None,
            started: false,
            instances: Version(0),
            effects: Vec::new(),
        }
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Millis, input: Input<R::Event>) -> Vec<Effect> {
        self.now = now;
        self.start();
        match input {
            Input::Message(received) => self.message(now, &received),
            Input::Traffic(event) => self.traffic(now, event),
            Input::Platform(reply) => self.platform(now, reply),
            Input::Turn => {}
            Input::End => self.end(now),
        }
        self.role.tick(now);
        for dispatch in self.role.take_sends() {
            self.effects.push(Effect::Send {
                to: dispatch.to,
                message: dispatch.message,
            });
        }
        if self.role.is_done(now) {
            self.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.effects)
    }

    fn start(&mut self) {
        if self.started {
            return;
        }
        self.started = true;
        self.watch(Topic::Fleet, Version(0), Duration::ZERO);
        self.watch(Topic::Instances, Version(0), Duration::ZERO);
    }

    fn watch(&mut self, topic: Topic, after: Version, delay: Duration) {
        let Some(platform) = self.settings.platforms.first() else {
            return;
        };
        self.platform_calls += 1;
        self.effects.push(Effect::Watch(WatchCall {
            platform: *platform,
            topic,
            after,
            wait: WATCH_WAIT,
            delay,
        }));
    }

    fn message(&mut self, now: Millis, received: &Received) {
        if !self.role.receive(now, &received.envelope) {
            counter!("control_messages_refused_total", "reason" => "replayed").increment(1);
        }
    }

    fn traffic(&mut self, now: Millis, event: R::Event) {
        match self.role.event(now, event) {
            News::Done | News::StaleSender(_) | News::NewerConfig(_) => {}
            News::WokeLate => self.role.confirm(),
            News::Record(record) => self.ledger.add(now, &record),
        }
    }

    fn platform(&mut self, now: Millis, reply: PlatformReply) {
        if reply.result.is_ok() {
            self.platform_heard = Some(now);
        }
        let delay = match reply.result {
            Ok(Reply::Newer(published)) => {
                self.take(now, reply.topic, &published);
                Duration::ZERO
            }
            Ok(Reply::Unchanged { .. }) => Duration::ZERO,
            Err(failure) => {
                log::warn!("{}: {failure}", reply.topic.name());
                RETRY_PAUSE
            }
        };
        let after = match reply.topic {
            Topic::Fleet => self.version(),
            Topic::Instances => self.instances,
        };
        self.watch(reply.topic, after, delay);
    }

    /// Version of the configuration in force; zero for none.
    pub(super) fn version(&self) -> Version {
        self.fleet.as_ref().map_or(Version(0), |f| f.version)
    }

    fn take(&mut self, now: Millis, topic: Topic, published: &Published) {
        match topic {
            Topic::Fleet => match Fleet::parse(published.version, &published.text) {
                Ok(fleet) => {
                    let fleet = Arc::new(fleet);
                    self.fleet = Some(Arc::clone(&fleet));
                    log::info!("configuration {} in force", fleet.version);
                    self.role.install(now, fleet);
                }
                Err(faults) => log::error!("document {} refused: {faults}", published.version),
            },
            Topic::Instances => match InstanceList::parse(published.version, &published.text) {
                Ok(list) => {
                    self.instances = list.version;
                    self.role.instances(now, &list);
                }
                Err(faults) => log::error!("instances {} refused: {faults}", published.version),
            },
        }
    }

    fn end(&mut self, now: Millis) {
        log::info!("asked to end; draining");
        self.draining = true;
        self.role.drain(now);
    }
}

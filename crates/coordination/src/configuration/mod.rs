//! The configuration of one process: which version of the fleet document is
//! in force, and how newer versions are found and fetched.
//!
//! The version in force never decreases. In each group a few members, the
//! pollers, long-poll the platform. A poller that reads a newer version
//! announces it to its group, and heartbeats and digests carry the version
//! number to all other processes, which ask a peer for the delta. A peer that
//! can't give one (it does not fit into a datagram, or the version to start
//! from is too old) answers with its version, and the whole document is
//! fetched from it. Every process refuses a document with faults, and the last
//! valid one stays in force.
//!
//! [`Configuration`] is a state machine without I/O. The driver passes in the
//! current time and the input: answers of the platform
//! ([`Configuration::on_platform_reply`]), whole documents of peers
//! ([`Configuration::on_document`]), control messages
//! ([`Configuration::on_message`]), versions in packet headers
//! ([`Configuration::on_version_hint`]), the live members of the group
//! ([`Configuration::set_members`]) and pauses of this process
//! ([`Configuration::on_pause`]). It calls [`Configuration::tick`] at
//! [`Configuration::next_timer`], and after each input carries out the outputs
//! of [`Configuration::next_output`] until there are none left.

pub mod catch_up;
mod confirm;
pub mod hold;
mod install;
pub mod output;
mod peer_messages;
pub mod platform_calls;
pub mod startup;
pub mod store;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use ramp_protocol::message::Message;
use ramp_state::instances::Role;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::key::mix;
use ramp_state::time::Millis;

use crate::configuration::catch_up::CatchUp;
use crate::configuration::hold::Hold;
use crate::configuration::install::Source;
pub use crate::configuration::output::Counts;
pub use crate::configuration::output::HoldOutcome;
pub use crate::configuration::output::Output;
pub use crate::configuration::output::Peer;
use crate::configuration::peer_messages::data_centre_is_out;
use crate::configuration::peer_messages::version_request;
use crate::configuration::platform_calls::CallId;
use crate::configuration::platform_calls::PlatformCallScheduler;
use crate::configuration::platform_calls::PollMode;
use crate::configuration::startup::Startup;
use crate::configuration::store::DeltaOutcome;
use crate::configuration::store::Store;
use crate::platform_reply::PlatformCallError;
use crate::platform_reply::PlatformReply;
use crate::platform_reply::PublishedText;
use crate::random::Random;

/// Number of members of each group that long-poll the platform.
pub const POLLERS_PER_GROUP: usize = 2;

/// Time without a message of any peer after which a process long-polls the
/// platform itself.
pub const PEER_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which a version comes into force everywhere when no fault delays
/// it.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Salt of the hash by which pollers are chosen.
const POLLER_SALT: u64 = 0x7265_6164_6572;

/// Finds, fetches and puts in force the versions of the configuration for one
/// process.
#[derive(Debug)]
pub struct Configuration {
    id: InstanceId,
    role: Role,
    peers: Vec<SocketAddrV4>,
    members: Vec<Peer>,
    random: Random,
    store: Store,
    calls: PlatformCallScheduler,
    catch_up: CatchUp,
    startup: Option<Startup>,
    hold: Option<Hold>,
    last_peer_message_at: Millis,
    installed_at: Millis,
    counts: Counts,
    outputs: VecDeque<Output>,
}

impl Configuration {
    /// State of a process that starts at `now`. All random delays follow from
    /// `seed`, which must differ between processes; `peers` are the control
    /// addresses of processes to ask at startup and after a pause.
    pub fn new(
        now: Millis,
        seed: u64,
        id: InstanceId,
        role: Role,
        peers: Vec<SocketAddrV4>,
    ) -> Configuration {
        let mut random = Random::new(seed);
        let calls = PlatformCallScheduler::new(now, random.next_u64());
        let catch_up = CatchUp::new(random.next_u64());
        let startup = Startup::new(now, &peers, calls.last_id(), &mut random);
        Configuration {
            id,
            role,
            peers,
            members: Vec::new(),
            random,
            store: Store::default(),
            calls,
            catch_up,
            startup: Some(startup),
            hold: None,
            last_peer_message_at: now,
            installed_at: now,
            counts: Counts::default(),
            outputs: VecDeque::new(),
        }
    }

    /// Version in force; zero during startup.
    pub fn version(&self) -> Version {
        match self.is_serving() {
            true => self.store.version(),
            false => Version(0),
        }
    }

    /// Whether startup is complete, so that a version is in force.
    pub fn is_serving(&self) -> bool {
        self.startup.is_none()
    }

    /// Whether traffic is held after a pause of this process.
    pub fn is_held(&self) -> bool {
        self.hold.is_some()
    }

    /// How often this process calls the platform, and whether by long polls.
    pub fn poll_mode(&self) -> PollMode {
        self.calls.mode()
    }

    /// Newest valid document, for a peer that asks for the whole document.
    pub fn published(&self) -> Option<PublishedText> {
        self.store.published()
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Removes and returns the next output for the driver to carry out.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Moment at which [`Configuration::tick`] must be called next.
    pub fn next_timer(&self) -> Millis {
        let silence = match self.calls.mode() {
            PollMode::Follower => Some(self.last_peer_message_at + PEER_SILENCE_TIMEOUT),
            _ => None,
        };
        let others = [
            self.catch_up.next_step_at(),
            self.startup.as_ref().map(Startup::next_check_at),
            self.hold.as_ref().map(Hold::next_check_at),
            silence,
        ];
        let first = others.into_iter().flatten().min();
        first.map_or(self.calls.next_call_at(), |t| {
            t.min(self.calls.next_call_at())
        })
    }

    /// Sets the live members of the own group. A balancer has no group.
    pub fn set_members(&mut self, now: Millis, mut members: Vec<Peer>) {
        members.retain(|peer| peer.id != self.id);
        self.members = members;
        self.refresh(now);
    }

    /// Handles the result of [`Output::CallPlatform`].
    pub fn on_platform_reply(
        &mut self,
        now: Millis,
        call: CallId,
        result: Result<PlatformReply, PlatformCallError>,
    ) {
        let useful = match &result {
            Ok(reply) => self.take_reply(now, call, reply),
            Err(_) => {
                self.counts.platform_failures += 1;
                false
            }
        };
        self.calls.record_result(now, call, useful);
        self.refresh(now);
    }

    /// Handles the result of [`Output::FetchDocument`].
    pub fn on_document(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        result: Result<PublishedText, PlatformCallError>,
    ) {
        let before = self.store.version();
        if let Ok(published) = &result {
            self.counts.documents_fetched += 1;
            self.offer_document(now, published, Source::Peer);
        }
        if self.store.version() == before
            && let Some(step) = self.catch_up.fetch_failed(now, from)
        {
            self.run_step(now, step);
        }
        self.refresh(now);
    }

    /// Handles a control message from the process at `from`. Messages that
    /// don't concern the configuration are ignored.
    pub fn on_message(&mut self, now: Millis, from: SocketAddrV4, message: &Message) {
        match message {
            Message::Heartbeat { config, .. } => self.note_peer_version(now, from, *config),
            Message::Digest { config, .. } => {
                self.note_peer_version(now, from, *config);
                self.notify_lagging_group(now, from, *config);
            }
            Message::Announce { config } => self.on_announce(now, from, *config),
            Message::VersionRequest => self.announce_to(from),
            Message::DeltaRequest { have } => self.on_delta_request(now, from, *have),
            Message::Delta(delta) => {
                self.last_peer_message_at = now;
                match self.store.apply(delta) {
                    DeltaOutcome::Accepted(fleet) => self.accept_fleet(now, fleet, Source::Peer),
                    DeltaOutcome::Unusable if self.catch_up.awaits_delta_from(from) => {
                        let step = self.catch_up.start_fetch(now, from);
                        self.run_step(now, step);
                    }
                    DeltaOutcome::Unusable => self.note_peer_version(now, from, delta.to),
                    DeltaOutcome::NotNewer => {}
                }
            }
            _ => return,
        }
        self.refresh(now);
    }

    /// Handles a version mentioned by a sender whose control address is not
    /// known, as in the header of a packet.
    pub fn on_version_hint(&mut self, now: Millis, version: Version) {
        if self.store.wants(version) {
            self.catch_up.note_version(now, None, version);
            self.refresh(now);
        }
    }

    /// Handles a pause of this process: the version in force may be outdated.
    /// Holds traffic until it is confirmed, or begins the startup anew if that
    /// was not complete.
    pub fn on_pause(&mut self, now: Millis) {
        self.last_peer_message_at = now;
        let last_call = self.calls.last_id();
        if let Some(startup) = &mut self.startup {
            *startup = Startup::new(now, &self.peers, last_call, &mut self.random);
            self.calls.schedule_now(now);
            return;
        }
        self.calls.jitter_overdue_call(now);
        if self.hold.replace(Hold::new(now, last_call)).is_none() {
            self.counts.holds += 1;
            self.outputs.push_back(Output::HoldTraffic);
        }
    }

    /// Carries out what is due at `now`: requests, timeouts and platform calls.
    pub fn tick(&mut self, now: Millis) {
        if let Some(startup) = &mut self.startup {
            let fleet = self.store.fleet().map(Arc::as_ref);
            let due_peers = startup
                .due_peers(now)
                .iter()
                .filter(|to| !data_centre_is_out(fleet, to));
            let requests = due_peers.map(|to| version_request(*to));
            self.outputs.extend(requests);
        }
        if let Some(round) = self.hold.as_mut().and_then(|hold| hold.due_round(now)) {
            self.request_confirmation(now, round);
        }
        if self
            .hold
            .as_ref()
            .is_some_and(|hold| hold.has_timed_out(now))
        {
            self.end_hold(HoldOutcome::TimedOut);
        }
        if let Some(step) = self.catch_up.due_step(now) {
            self.run_step(now, step);
        }
        self.refresh(now);
        if let Some(call) = self.calls.due_call(now, self.store.newest_seen()) {
            self.counts.platform_calls += 1;
            self.outputs.push_back(Output::CallPlatform(call));
        }
    }

    /// Ends the startup if it is complete, and updates the poll mode.
    fn refresh(&mut self, now: Millis) {
        self.finish_startup_if_ready(now);
        let mode = self.poll_mode_at(now);
        let rank = self.rank();
        self.calls.set_mode(now, mode, rank);
    }

    fn poll_mode_at(&self, now: Millis) -> PollMode {
        let silent = now >= self.last_peer_message_at + PEER_SILENCE_TIMEOUT;
        let chosen = self.role == Role::Agent && self.rank() < POLLERS_PER_GROUP;
        if !self.is_serving() {
            PollMode::Starting
        } else if chosen {
            PollMode::Poller
        } else if silent {
            PollMode::Isolated
        } else {
            PollMode::Follower
        }
    }

    /// Rank of this process in the choice of pollers (rendezvous hashing): the
    /// number of live members of the group with a higher score.
    fn rank(&self) -> usize {
        let score = |id: InstanceId| mix(id.0 ^ POLLER_SALT);
        let own = score(self.id);
        self.members.iter().filter(|m| score(m.id) > own).count()
    }
}

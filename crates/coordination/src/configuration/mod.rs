//! The configuration of one process: which version is in force, and how newer
//! ones are found.
//!
//! The version only rises. In each group a few readers watch the platform;
//! whoever learns of a newer version there tells its group, and heartbeats and
//! digests carry the version to everybody else, who ask a peer for the delta.
//! A peer that can't give one (too long for a datagram, or from a version too
//! old) answers with its version, and the whole document is fetched from it.
//! A document with faults is refused alike by everyone who reads it, and the
//! last good one stays in force.
//!
//! The driver passes in the moment and what came: answers of the platform
//! ([`Configuration::platform`]), whole documents of peers
//! ([`Configuration::document`]), messages ([`Configuration::message`]),
//! versions in headers of packets ([`Configuration::newer_seen`]), who is
//! alive in the group ([`Configuration::set_members`]) and jumps of time
//! ([`Configuration::handle_pause`]). It calls [`Configuration::tick`] at
//! [`Configuration::next_timer`], and after each input carries out what
//! [`Configuration::next_output`] gives until that is empty.

pub mod catch_up;
pub mod hold;
mod in_force;
pub mod output;
mod peers;
pub mod start;
pub mod store;
mod waking;
pub mod watch;

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
use crate::configuration::in_force::Source;
pub use crate::configuration::output::Confirmation;
pub use crate::configuration::output::Counts;
pub use crate::configuration::output::Output;
pub use crate::configuration::output::Peer;
use crate::configuration::peers::ask_version;
use crate::configuration::peers::is_out;
use crate::configuration::start::Start;
use crate::configuration::store::Applied;
use crate::configuration::store::Store;
use crate::configuration::watch::Attention;
use crate::configuration::watch::CallId;
use crate::configuration::watch::Watcher;
use crate::published::Failure;
use crate::published::Published;
use crate::published::Reply;
use crate::random::Random;

/// Members of a group that watch the platform.
pub const READERS_PER_GROUP: usize = 2;

/// Time without a word of any peer after which a process watches the platform
/// itself.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Time after which a version is in force everywhere when nothing hinders it.
pub const LATE: Duration = Duration::from_secs(2);

/// Salt of the choice of readers.
const READER_SALT: u64 = 0x7265_6164_6572;

/// The configuration of one process.
#[derive(Debug)]
pub struct Configuration {
    id: InstanceId,
    role: Role,
    peers: Vec<SocketAddrV4>,
    members: Vec<Peer>,
    random: Random,
    store: Store,
    watcher: Watcher,
    catch_up: CatchUp,
    start: Option<Start>,
    hold: Option<Hold>,
    last_heard: Millis,
    installed_at: Millis,
    counts: Counts,
    outputs: VecDeque<Output>,
}

impl Configuration {
    /// Configuration of a process that starts at `now`. All jitter follows
    /// from `seed`, which must differ between processes; `peers` are asked at
    /// start.
    pub fn new(
        now: Millis,
        seed: u64,
        id: InstanceId,
        role: Role,
        peers: Vec<SocketAddrV4>,
    ) -> Configuration {
        let mut random = Random::new(seed);
        let watcher = Watcher::new(now, random.next_u64());
        let catch_up = CatchUp::new(random.next_u64());
        let start = Start::new(now, &peers, watcher.last(), &mut random);
        Configuration {
            id,
            role,
            peers,
            members: Vec::new(),
            random,
            store: Store::default(),
            watcher,
            catch_up,
            start: Some(start),
            hold: None,
            last_heard: now,
            installed_at: now,
            counts: Counts::default(),
            outputs: VecDeque::new(),
        }
    }

    /// Version in force; zero when there is none yet.
    pub fn version(&self) -> Version {
        match self.is_serving() {
            true => self.store.version(),
            false => Version(0),
        }
    }

    /// Whether a version is in force.
    pub fn is_serving(&self) -> bool {
        self.start.is_none()
    }

    /// Whether traffic is held.
    pub fn is_held(&self) -> bool {
        self.hold.is_some()
    }

    /// How this process follows the platform.
    pub fn attention(&self) -> Attention {
        self.watcher.attention()
    }

    /// Newest good document, for a peer that asks for the whole.
    pub fn published(&self) -> Option<Published> {
        self.store.published()
    }

    /// What happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Next thing to do.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Moment of the next [`Configuration::tick`].
    pub fn next_timer(&self) -> Millis {
        let silence = match self.watcher.attention() {
            Attention::Checker => Some(self.last_heard + SILENCE_LIMIT),
            _ => None,
        };
        let others = [
            self.catch_up.timer(),
            self.start.as_ref().map(Start::timer),
            self.hold.as_ref().map(Hold::timer),
            silence,
        ];
        let first = others.into_iter().flatten().min();
        first.map_or(self.watcher.timer(), |t| t.min(self.watcher.timer()))
    }

    /// Learns who else is alive in the own group. A balancer has no group.
    pub fn set_members(&mut self, now: Millis, mut members: Vec<Peer>) {
        members.retain(|peer| peer.id != self.id);
        self.members = members;
        self.settle(now);
    }

    /// Takes the result of a call of the platform.
    pub fn platform(&mut self, now: Millis, call: CallId, result: Result<Reply, Failure>) {
        let useful = match &result {
            Ok(reply) => self.replied(now, call, reply),
            Err(_) => {
                self.counts.platform_failures += 1;
                false
            }
        };
        self.watcher.result(now, call, useful);
        self.settle(now);
    }

    /// Takes the result of [`Output::FetchDocument`].
    pub fn document(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        result: Result<Published, Failure>,
    ) {
        let before = self.store.version();
        if let Ok(published) = &result {
            self.counts.documents_fetched += 1;
            self.offer(now, published, Source::Peer);
        }
        if self.store.version() == before
            && let Some(step) = self.catch_up.fetch_failed(now, from)
        {
            self.take_step(now, step);
        }
        self.settle(now);
    }

    /// Takes a control message of the process at `from`. Messages that don't
    /// concern the configuration change nothing.
    pub fn message(&mut self, now: Millis, from: SocketAddrV4, message: &Message) {
        match message {
            Message::Heartbeat { config, .. } => self.heard(now, from, *config),
            Message::Digest { config, .. } => {
                self.heard(now, from, *config);
                self.help(now, from, *config);
            }
            Message::Announce { config } => self.announced(now, from, *config),
            Message::AskVersion => self.announce_to(from),
            Message::AskDelta { have } => self.asked_for_delta(now, from, *have),
            Message::Delta(delta) => {
                self.last_heard = now;
                match self.store.apply(delta) {
                    Applied::Taken(fleet) => self.install(now, fleet, Source::Peer),
                    Applied::Unusable if self.catch_up.awaits(from) => {
                        let step = self.catch_up.fetch(now, from);
                        self.take_step(now, step);
                    }
                    Applied::Unusable => self.heard(now, from, delta.to),
                    Applied::Old => {}
                }
            }
            _ => return,
        }
        self.settle(now);
    }

    /// Hears of a version from somebody whose control address is not known,
    /// as in the header of a packet.
    pub fn newer_seen(&mut self, now: Millis, version: Version) {
        if self.store.wants(version) {
            self.catch_up.heard(now, None, version);
            self.settle(now);
        }
    }

    /// Time jumped: what is in force may long be out of date.
    pub fn handle_pause(&mut self, now: Millis) {
        self.last_heard = now;
        let last_call = self.watcher.last();
        if let Some(start) = &mut self.start {
            *start = Start::new(now, &self.peers, last_call, &mut self.random);
            self.watcher.call_now(now);
            return;
        }
        self.watcher.woke_late(now);
        if self.hold.replace(Hold::new(now, last_call)).is_none() {
            self.counts.holds += 1;
            self.outputs.push_back(Output::Hold);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        if let Some(start) = &mut self.start {
            let fleet = self.store.fleet().map(Arc::as_ref);
            let asked = start.due(now).iter().filter(|to| !is_out(fleet, to));
            let asks = asked.map(|to| ask_version(*to));
            self.outputs.extend(asks);
        }
        if let Some(round) = self.hold.as_mut().and_then(|hold| hold.due(now)) {
            self.ask_to_confirm(now, round);
        }
        if self.hold.as_ref().is_some_and(|hold| hold.is_over(now)) {
            self.resume(Confirmation::TimedOut);
        }
        if let Some(step) = self.catch_up.due(now) {
            self.take_step(now, step);
        }
        self.settle(now);
        if let Some(call) = self.watcher.due(now, self.store.seen()) {
            self.counts.platform_calls += 1;
            self.outputs.push_back(Output::Watch(call));
        }
    }

    /// Ends the start when it may end, and fits the attention to the group.
    fn settle(&mut self, now: Millis) {
        self.end_start(now);
        let attention = self.attention_at(now);
        let rank = self.rank();
        self.watcher.set_attention(now, attention, rank);
    }

    fn attention_at(&self, now: Millis) -> Attention {
        let silent = now >= self.last_heard + SILENCE_LIMIT;
        let chosen = self.role == Role::Agent && self.rank() < READERS_PER_GROUP;
        if !self.is_serving() {
            Attention::Starting
        } else if chosen {
            Attention::Reader
        } else if silent {
            Attention::Alone
        } else {
            Attention::Checker
        }
    }

    /// How many live members of the group come before this process in the
    /// choice of readers.
    fn rank(&self) -> usize {
        let score = |id: InstanceId| mix(id.0 ^ READER_SALT);
        let own = score(self.id);
        self.members.iter().filter(|m| score(m.id) > own).count()
    }
}

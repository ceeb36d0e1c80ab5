//! Control messages between processes about the configuration: handling those
//! received, and sending announcements and requests.

use std::net::SocketAddrV4;

use ramp_protocol::message::Message;
use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::Fleet;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::configuration::Configuration;
use crate::configuration::PROPAGATION_TIME;
use crate::configuration::catch_up::Step;
use crate::configuration::hold::Hold;
use crate::configuration::output::Output;

impl Configuration {
    /// Records the version that a peer has, and starts to fetch it if wanted.
    pub(super) fn note_peer_version(&mut self, now: Millis, from: SocketAddrV4, version: Version) {
        self.last_peer_message_at = now;
        if self.store.wants(version) {
            self.catch_up.note_version(now, Some(from), version);
        }
    }

    /// Announces the newer version to the sender of a digest whose group has
    /// missed it: the long polls of its pollers may hang.
    pub(super) fn notify_lagging_group(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        version: Version,
    ) {
        if version < self.version() && now >= self.installed_at + PROPAGATION_TIME {
            self.announce_to(from);
        }
    }

    /// Handles a version that a peer announced, whether it was asked or not.
    pub(super) fn on_announce(&mut self, now: Millis, from: SocketAddrV4, version: Version) {
        self.note_peer_version(now, from, version);
        if let Some(startup) = &mut self.startup {
            startup.peer_answered(from);
        }
        if self.store.wants(version) && self.catch_up.awaits_delta_from(from) {
            let step = self.catch_up.start_fetch(now, from);
            self.run_step(now, step);
        }
        let valid = self.hold.as_ref().is_some_and(Hold::accepts_messages);
        self.confirm(valid && version == self.store.version());
    }

    /// Answers a peer that asks for the delta since the version `have`.
    pub(super) fn on_delta_request(&mut self, now: Millis, from: SocketAddrV4, have: Version) {
        self.note_peer_version(now, from, have);
        if have >= self.store.version() {
            self.announce_to(from);
            return;
        }
        match self.store.delta_since(have) {
            Some(delta) => self.send(from, Message::Delta(delta)),
            None => self.announce_to(from),
        }
    }

    /// Announces the newest valid version to a peer. A process that holds
    /// traffic sends nothing, because its own version is not confirmed and must
    /// not confirm that of another process.
    pub(super) fn announce_to(&mut self, to: SocketAddrV4) {
        if self.hold.is_none() {
            let config = self.store.version();
            self.send(to, Message::Announce { config });
        }
    }

    /// Carries out the next step of the catch-up.
    pub(super) fn run_step(&mut self, now: Millis, step: Step) {
        match step {
            Step::RequestDelta(to) => {
                self.counts.deltas_requested += 1;
                let have = self.store.version();
                self.send(to, Message::DeltaRequest { have });
            }
            Step::FetchDocument(from) => self.outputs.push_back(Output::FetchDocument { from }),
            Step::CallPlatform => self.calls.schedule_read_soon(now),
        }
    }

    /// Queues a message for the driver to send.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.outputs.push_back(Output::Send { to, message });
    }
}

/// Output that asks the process at `to` for its version.
pub(super) fn version_request(to: SocketAddrV4) -> Output {
    Output::Send {
        to,
        message: Message::VersionRequest,
    }
}

/// Whether `control` is the address of an agent in a data centre with
/// `state = out`. Such agents are sent nothing.
pub(super) fn data_centre_is_out(fleet: Option<&Fleet>, control: &SocketAddrV4) -> bool {
    let Some(fleet) = fleet else {
        return false;
    };
    let mut servers = fleet.servers.values();
    let server = servers.find(|server| server.control == *control);
    let data_centre = server.and_then(|s| fleet.data_centres.get(&s.data_centre));
    data_centre.is_some_and(|d| d.state == DataCentreState::Out)
}

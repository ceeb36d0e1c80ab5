//! What a process says to its peers, and makes of what they say.

use std::net::SocketAddrV4;

use ramp_protocol::message::Message;
use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::Fleet;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use crate::configuration::Configuration;
use crate::configuration::LATE;
use crate::configuration::catch_up::Step;
use crate::configuration::hold::Hold;
use crate::configuration::output::Output;

impl Configuration {
    /// Hears which version is in force at a peer.
    pub(super) fn heard(&mut self, now: Millis, from: SocketAddrV4, version: Version) {
        self.last_heard = now;
        if self.store.wants(version) {
            self.catch_up.heard(now, Some(from), version);
        }
    }

    /// Tells the sender of a digest that its group missed a version: the
    /// watches of its readers may hang.
    pub(super) fn help(&mut self, now: Millis, from: SocketAddrV4, version: Version) {
        if version < self.version() && now >= self.installed_at + LATE {
            self.announce_to(from);
        }
    }

    /// Takes a version that a peer announced, asked or not.
    pub(super) fn announced(&mut self, now: Millis, from: SocketAddrV4, version: Version) {
        self.heard(now, from, version);
        if let Some(start) = &mut self.start {
            start.peer_answered(from);
        }
        if self.store.wants(version) && self.catch_up.awaits(from) {
            let step = self.catch_up.fetch(now, from);
            self.take_step(now, step);
        }
        let heeded = self.hold.as_ref().is_some_and(Hold::heeds_messages);
        self.confirm(heeded && version == self.store.version());
    }

    /// Answers a peer that wants the change since the version `have`.
    pub(super) fn asked_for_delta(&mut self, now: Millis, from: SocketAddrV4, have: Version) {
        self.heard(now, from, have);
        if have >= self.store.version() {
            self.announce_to(from);
            return;
        }
        match self.store.delta_since(have) {
            Some(delta) => self.send(from, Message::Delta(delta)),
            None => self.announce_to(from),
        }
    }

    /// Tells a peer the newest good version. A process on hold keeps silent,
    /// lest it confirm to another one what it is not sure of itself.
    pub(super) fn announce_to(&mut self, to: SocketAddrV4) {
        if self.hold.is_none() {
            let config = self.store.version();
            self.send(to, Message::Announce { config });
        }
    }

    /// Carries out a step towards a newer version.
    pub(super) fn take_step(&mut self, now: Millis, step: Step) {
        match step {
            Step::Ask(to) => {
                self.counts.deltas_asked += 1;
                let have = self.store.version();
                self.send(to, Message::AskDelta { have });
            }
            Step::Fetch(from) => self.outputs.push_back(Output::FetchDocument { from }),
            Step::Platform => self.watcher.hurry(now),
        }
    }

    /// Sends a message.
    pub(super) fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.outputs.push_back(Output::Send { to, message });
    }
}

/// Question for the version at `to`.
pub(super) fn ask_version(to: SocketAddrV4) -> Output {
    Output::Send {
        to,
        message: Message::AskVersion,
    }
}

/// Whether the peer is an agent whose data centre is out, which gets nothing.
pub(super) fn is_out(fleet: Option<&Fleet>, control: &SocketAddrV4) -> bool {
    let Some(fleet) = fleet else {
        return false;
    };
    let mut servers = fleet.servers.values();
    let server = servers.find(|server| server.control == *control);
    let data_centre = server.and_then(|s| fleet.data_centres.get(&s.data_centre));
    data_centre.is_some_and(|d| d.state == DataCentreState::Out)
}

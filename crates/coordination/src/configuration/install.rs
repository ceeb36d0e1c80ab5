//! Accepts or refuses fleet documents, and puts accepted ones in force.
//!
//! Documents come from the platform or from peers. One that is newer and
//! without faults is handed to the driver as [`Output::Install`], at once or
//! when the startup of the process is complete.

use std::net::SocketAddrV4;
use std::sync::Arc;

use ramp_state::fleet::Fleet;
use ramp_state::time::Millis;

use crate::configuration::Configuration;
use crate::configuration::hold::Hold;
use crate::configuration::output::Output;
use crate::configuration::platform_calls::CallId;
use crate::configuration::store::OfferOutcome;
use crate::platform_reply::PlatformReply;
use crate::platform_reply::PublishedText;

/// Where a document or delta came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Platform,
    Peer,
}

impl Configuration {
    /// Processes an answer of the platform. Returns false when the replica is
    /// stale, that is, behind the own version or the newest one of peers.
    pub(super) fn take_reply(&mut self, now: Millis, call: CallId, reply: &PlatformReply) -> bool {
        if let PlatformReply::Newer(published) = reply {
            self.offer_document(now, published, Source::Platform);
        }
        if let Some(startup) = &mut self.startup {
            startup.platform_answered(call);
        }
        let version = match reply {
            PlatformReply::Newer(published) => published.version,
            PlatformReply::Unchanged { version } => *version,
        };
        if version < self.store.version() || self.is_behind() {
            self.counts.stale_answers += 1;
            return false;
        }
        let valid = self.hold.as_ref().is_some_and(|h| h.accepts_call(call));
        self.confirm(valid);
        true
    }

    /// Whether a newer version is known to exist that was not refused.
    pub(super) fn is_behind(&self) -> bool {
        self.store.wants(self.catch_up.newest())
    }

    /// Accepts a document if it is newer and without faults.
    pub(super) fn offer_document(
        &mut self,
        now: Millis,
        published: &PublishedText,
        source: Source,
    ) {
        match self.store.offer(published) {
            OfferOutcome::NotNewer => {}
            OfferOutcome::Accepted(fleet) => self.accept_fleet(now, fleet, source),
            OfferOutcome::Refused(faults) => {
                self.counts.refused += 1;
                self.catch_up.version_reached(now, self.store.newest_seen());
                self.outputs.push_back(Output::DocumentRefused {
                    version: published.version,
                    faults,
                });
            }
        }
    }

    /// Puts an accepted fleet in force, or leaves that to the end of the
    /// startup. A version read from the platform is announced to the group.
    pub(super) fn accept_fleet(&mut self, now: Millis, fleet: Arc<Fleet>, source: Source) {
        self.calls.set_servers(fleet.servers.len());
        self.catch_up.version_reached(now, fleet.version);
        if self.startup.is_some() {
            return;
        }
        self.put_in_force(now, fleet);
        if source == Source::Platform {
            let members: Vec<SocketAddrV4> = self.members.iter().map(|m| m.control).collect();
            members.into_iter().for_each(|to| self.announce_to(to));
        }
        let valid = self.hold.as_ref().is_some_and(Hold::accepts_messages);
        self.confirm(valid && source == Source::Peer);
    }

    /// Ends the startup, and puts the newest accepted fleet in force, once the
    /// startup is complete and there is such a fleet.
    pub(super) fn finish_startup_if_ready(&mut self, now: Millis) {
        let behind = self.is_behind();
        let ready = self
            .startup
            .as_ref()
            .is_some_and(|s| s.is_complete(now, behind));
        let Some(fleet) = self.store.fleet().filter(|_| ready).cloned() else {
            return;
        };
        self.startup = None;
        self.last_peer_message_at = now;
        self.put_in_force(now, fleet);
    }

    /// Tells the driver to install `fleet`.
    pub(super) fn put_in_force(&mut self, now: Millis, fleet: Arc<Fleet>) {
        self.installed_at = now;
        self.counts.installed += 1;
        self.outputs.push_back(Output::Install(fleet));
    }
}

//! How documents come into force, or are refused.

use std::net::SocketAddrV4;
use std::sync::Arc;

use ramp_state::fleet::Fleet;
use ramp_state::time::Millis;

use crate::configuration::Configuration;
use crate::configuration::hold::Hold;
use crate::configuration::output::Output;
use crate::configuration::store::Offer;
use crate::configuration::watch::CallId;
use crate::published::Published;
use crate::published::Reply;

/// Where a document came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    Platform,
    Peer,
}

impl Configuration {
    /// Takes an answer of the platform; false when its replica is stale.
    pub(super) fn replied(&mut self, now: Millis, call: CallId, reply: &Reply) -> bool {
        if let Reply::Newer(published) = reply {
            self.offer(now, published, Source::Platform);
        }
        if let Some(start) = &mut self.start {
            start.platform_answered(call);
        }
        let version = match reply {
            Reply::Newer(published) => published.version,
            Reply::Unchanged { version } => *version,
        };
        if version < self.store.version() || self.is_behind() {
            self.counts.stale_answers += 1;
            return false;
        }
        let heeded = self.hold.as_ref().is_some_and(|h| h.heeds_call(call));
        self.confirm(heeded);
        true
    }

    /// Whether peers have a version that this process wants.
    pub(super) fn is_behind(&self) -> bool {
        self.store.wants(self.catch_up.newest())
    }

    /// Takes a document if it is newer and good.
    pub(super) fn offer(&mut self, now: Millis, published: &Published, source: Source) {
        match self.store.offer(published) {
            Offer::Old => {}
            Offer::Taken(fleet) => self.install(now, fleet, source),
            Offer::Refused(faults) => {
                self.counts.refused += 1;
                self.catch_up.reached(now, self.store.seen());
                self.outputs.push_back(Output::Refuse {
                    version: published.version,
                    faults,
                });
            }
        }
    }

    /// Puts a newer fleet in force, or keeps it until the start is over.
    pub(super) fn install(&mut self, now: Millis, fleet: Arc<Fleet>, source: Source) {
        self.watcher.set_servers(fleet.servers.len());
        self.catch_up.reached(now, fleet.version);
        if self.start.is_some() {
            return;
        }
        self.put_in_force(now, fleet);
        if source == Source::Platform {
            let members: Vec<SocketAddrV4> = self.members.iter().map(|m| m.control).collect();
            members.into_iter().for_each(|to| self.announce_to(to));
        }
        let heeded = self.hold.as_ref().is_some_and(Hold::heeds_messages);
        self.confirm(heeded && source == Source::Peer);
    }

    /// Ends the start, if it may end.
    pub(super) fn end_start(&mut self, now: Millis) {
        let behind = self.is_behind();
        let over = self.start.as_ref().is_some_and(|s| s.is_over(now, behind));
        let Some(fleet) = self.store.fleet().filter(|_| over).cloned() else {
            return;
        };
        self.start = None;
        self.last_heard = now;
        self.put_in_force(now, fleet);
    }

    /// Hands a fleet to the driver.
    pub(super) fn put_in_force(&mut self, now: Millis, fleet: Arc<Fleet>) {
        self.installed_at = now;
        self.counts.installed += 1;
        self.outputs.push_back(Output::Install(fleet));
    }
}

//! What a process does between waking late and letting traffic go on.

use std::sync::Arc;

use ramp_state::time::Millis;

use crate::configuration::Configuration;
use crate::configuration::output::Confirmation;
use crate::configuration::output::Output;
use crate::configuration::peers::ask_version;
use crate::configuration::peers::is_out;

/// Peers asked in one round to confirm the version after waking late.
const CONFIRMING_PEERS: usize = 3;

impl Configuration {
    /// Asks some peers for their version, and in its turn the platform.
    pub(super) fn ask_to_confirm(&mut self, now: Millis, round: u32) {
        let mut known = self.peers.clone();
        known.extend(self.members.iter().map(|member| member.control));
        let fleet = self.store.fleet().map(Arc::as_ref);
        known.retain(|peer| !is_out(fleet, peer));
        for _ in 0..CONFIRMING_PEERS.min(known.len()) {
            let at = self.random.below(known.len() as u64) as usize;
            self.outputs.push_back(ask_version(known.swap_remove(at)));
        }
        // Peers answer sooner, and spare the platform when many wake at once.
        let nobody = self.peers.is_empty() && self.members.is_empty();
        let turn_of_platform = if nobody { 1 } else { 2 };
        if round == turn_of_platform {
            self.watcher.call_to_confirm(now);
        }
    }

    /// Ends the hold on a word that is `heeded`, unless peers have more.
    pub(super) fn confirm(&mut self, heeded: bool) {
        if heeded && !self.is_behind() {
            self.resume(Confirmation::Confirmed);
        }
    }

    /// Ends the hold, if there is one.
    pub(super) fn resume(&mut self, confirmation: Confirmation) {
        if self.hold.take().is_some() {
            self.outputs.push_back(Output::Resume(confirmation));
        }
    }
}

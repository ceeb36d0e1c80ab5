//! What a process does between waking late and letting traffic go on.

use std::sync::Arc;

use ramp_state::time::Millis;

use crate::configuration::Configuration;
use crate::configuration::output::HoldOutcome;
use crate::configuration::output::Output;
use crate::configuration::peer_messages::data_centre_is_out;
use crate::configuration::peer_messages::version_request;

/// Peers asked in one round to confirm the version after waking late.
const PEERS_PER_ROUND: usize = 3;

impl Configuration {
    /// Asks some peers for their version, and in its turn the platform.
    pub(super) fn request_confirmation(&mut self, now: Millis, round: u32) {
        let mut candidates = self.peers.clone();
        candidates.extend(self.members.iter().map(|member| member.control));
        let fleet = self.store.fleet().map(Arc::as_ref);
        candidates.retain(|peer| !data_centre_is_out(fleet, peer));
        for _ in 0..PEERS_PER_ROUND.min(candidates.len()) {
            let index = self.random.below(candidates.len() as u64) as usize;
            self.outputs
                .push_back(version_request(candidates.swap_remove(index)));
        }
        // Peers answer sooner, and spare the platform when many wake at once.
        let no_peers = self.peers.is_empty() && self.members.is_empty();
        let platform_round = if no_peers { 1 } else { 2 };
        if round == platform_round {
            self.calls.schedule_confirmation(now);
        }
    }

    /// Ends the hold on a word that is `valid`, unless peers have more.
    pub(super) fn confirm(&mut self, valid: bool) {
        if valid && !self.is_behind() {
            self.end_hold(HoldOutcome::Confirmed);
        }
    }

    /// Ends the hold, if there is one.
    pub(super) fn end_hold(&mut self, outcome: HoldOutcome) {
        if self.hold.take().is_some() {
            self.outputs.push_back(Output::ResumeTraffic(outcome));
        }
    }
}

//! Confirmation of the version in force after a pause of this process.
//!
//! While traffic is held, the process asks peers, and in a later round the
//! platform, which version is the newest. It lets traffic go on when one of
//! them confirms its version, or when the hold times out.

use std::sync::Arc;

use ramp_state::time::Millis;

use crate::configuration::Configuration;
use crate::configuration::output::HoldOutcome;
use crate::configuration::output::Output;
use crate::configuration::peer_messages::data_centre_is_out;
use crate::configuration::peer_messages::version_request;

/// Number of peers asked in one round to confirm the version.
const PEERS_PER_ROUND: usize = 3;

impl Configuration {
    /// Asks some peers for their version, and the platform in the second round
    /// (in the first when there are no peers).
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
        // Peers come first because they answer sooner, and because many
        // processes that resume at once could overload the platform.
        let no_peers = self.peers.is_empty() && self.members.is_empty();
        let platform_round = if no_peers { 1 } else { 2 };
        if round == platform_round {
            self.calls.schedule_confirmation(now);
        }
    }

    /// Ends the hold if the confirmation is `valid` and no newer version is
    /// known to exist.
    pub(super) fn confirm(&mut self, valid: bool) {
        if valid && !self.is_behind() {
            self.end_hold(HoldOutcome::Confirmed);
        }
    }

    /// Ends the hold, if there is one, and makes the driver let held
    /// traffic go on.
    pub(super) fn end_hold(&mut self, outcome: HoldOutcome) {
        if self.hold.take().is_some() {
            self.outputs.push_back(Output::ResumeTraffic(outcome));
        }
    }
}

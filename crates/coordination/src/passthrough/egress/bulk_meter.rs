//! Tells bulk data from interactive data by how much a flow has sent recently.

use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::key::FlowKey;
use ramp_state::time::Millis;

use super::Class;
use crate::passthrough::sweep::Sweep;

/// Amount of data within the window above which a flow's further data is bulk.
const BULK_THRESHOLD_BYTES: u32 = 16_000;

/// Time for which a flow's data counts. It exceeds the endpoints' longest
/// retransmission timeout of 1.6 s, so that bulk data stays bulk when it is
/// retransmitted.
const WINDOW: Duration = Duration::from_secs(2);

/// Number of parts of the window whose data is counted separately.
const WINDOW_SLOTS: usize = 8;

const SLOT_MS: u64 = WINDOW.as_millis() as u64 / WINDOW_SLOTS as u64;

/// Maximum number of flows that are counted, about 100 bytes each. Flows beyond it
/// are not counted, so their data is interactive.
const MAX_FLOWS: usize = 4096;

/// Entries that are checked for expiry with each packet.
const SWEEP_ENTRIES_PER_PACKET: usize = 4;

/// Priority of data whose route has none: the lowest.
const DEFAULT_PRIORITY: u8 = u8::MAX;

/// How much data each flow has sent recently.
#[derive(Debug, Default)]
pub struct BulkMeter {
    flows: IndexMap<FlowKey, RecentData>,
    sweep: Sweep,
}

/// Data of one flow in each slot of the window. A slot holds up to 64 kB, which is
/// above the threshold already.
#[derive(Clone, Copy, Debug, Default)]
struct RecentData {
    slots: [u16; WINDOW_SLOTS],
    /// Number of the newest slot, counted from the zero of the clock.
    newest: u64,
}

impl BulkMeter {
    /// Class of a caller's packet with this length of data, without the packet
    /// itself being counted. `priority` is that of the flow's route.
    pub fn class_of(
        &self,
        now: Millis,
        flow: &FlowKey,
        data_bytes: u32,
        priority: Option<u8>,
    ) -> Class {
        if data_bytes == 0 {
            return Class::Control;
        }
        let recent = self.flows.get(flow);
        if recent.is_some_and(|recent| recent.total_bytes(now) > BULK_THRESHOLD_BYTES) {
            return Class::Bulk;
        }
        Class::Interactive {
            priority: priority.unwrap_or(DEFAULT_PRIORITY),
        }
    }

    /// Counts the data of a caller's packet. To be called once for each packet,
    /// however often it is sent on.
    pub fn record(&mut self, now: Millis, flow: &FlowKey, data_bytes: u32) {
        self.sweep
            .evict(&mut self.flows, SWEEP_ENTRIES_PER_PACKET, |_, recent| {
                recent.total_bytes(now) == 0
            });
        if data_bytes == 0 {
            return;
        }
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(flow) {
            self.flows.entry(*flow).or_default().add(now, data_bytes);
        }
    }

    /// Number of flows that are counted.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }
}

impl RecentData {
    fn add(&mut self, now: Millis, data_bytes: u32) {
        let slot = slot_of(now);
        for passed in (self.newest + 1..=slot).take(WINDOW_SLOTS) {
            self.slots[passed as usize % WINDOW_SLOTS] = 0;
        }
        self.newest = self.newest.max(slot);
        let bytes = &mut self.slots[slot as usize % WINDOW_SLOTS];
        *bytes = bytes.saturating_add(u16::try_from(data_bytes).unwrap_or(u16::MAX));
    }

    /// Data in the slots of the window.
    fn total_bytes(&self, now: Millis) -> u32 {
        let oldest = (slot_of(now) + 1).saturating_sub(WINDOW_SLOTS as u64);
        let counted = oldest..=self.newest;
        let bytes = counted.map(|slot| u32::from(self.slots[slot as usize % WINDOW_SLOTS]));
        bytes.sum()
    }
}

fn slot_of(now: Millis) -> u64 {
    now.0 / SLOT_MS
}

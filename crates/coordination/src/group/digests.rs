//! Schedule of the digests that an agent sends to the balancers assigned to it. A
//! digest lists the dead members of a group.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use ramp_state::fleet::Fleet;
use ramp_state::instances::InstanceList;
use ramp_state::instances::Role;
use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::routing_table::Group;
use ramp_state::time::Millis;

use super::takes_traffic;

/// Time between two digests to one balancer while nothing changes.
pub(super) const DIGEST_PERIOD: Duration = Duration::from_secs(4);

/// Balancers that get digests from this agent, with the time of the next one.
#[derive(Clone, Debug, Default)]
pub(super) struct Digests {
    served: IndexMap<InstanceId, ServedBalancer>,
}

#[derive(Clone, Copy, Debug)]
struct ServedBalancer {
    control: SocketAddrV4,
    next_at: Millis,
}

impl Digests {
    /// Recomputes which balancers get digests from this agent. A newly assigned
    /// balancer gets a digest at once.
    pub(super) fn assign(
        &mut self,
        now: Millis,
        me: InstanceId,
        group: &Group,
        fleet: &Fleet,
        list: &InstanceList,
    ) {
        let old = std::mem::take(&mut self.served);
        for (name, instance) in &list.instances {
            let id = InstanceId::of(name);
            let serves = instance.role == Role::Balancer
                && takes_traffic(fleet, &instance.data_centre)
                && group.home(mix(id.0)).is_some_and(|m| m.id == me);
            if !serves {
                continue;
            }
            let next_at = old.get(&id).map_or(now, |served| served.next_at);
            let control = instance.control;
            self.served.insert(id, ServedBalancer { control, next_at });
        }
    }

    /// Makes all digests due.
    pub(super) fn make_all_due(&mut self, now: Millis) {
        for served in self.served.values_mut() {
            served.next_at = served.next_at.min(now);
        }
    }

    /// Control addresses of the balancers whose digest is due; schedules their
    /// next ones.
    pub(super) fn take_due(&mut self, now: Millis) -> impl Iterator<Item = SocketAddrV4> {
        self.served
            .values_mut()
            .filter(move |served| served.next_at <= now)
            .map(move |served| {
                served.next_at = now + DIGEST_PERIOD;
                served.control
            })
    }

    /// When the next digest is due.
    pub(super) fn next_timer(&self) -> Option<Millis> {
        self.served.values().map(|served| served.next_at).min()
    }
}

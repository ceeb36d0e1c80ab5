//! Control state of a balancer: the view by which packets are routed.

use std::sync::Arc;
use std::time::Duration;

use flume::Sender;
use indexmap::IndexMap;
use ramp_coordination::configuration::Peer;
use ramp_coordination::group::BalancerMembership;
use ramp_coordination::pause::PauseId;
use ramp_protocol::message::Envelope;
use ramp_protocol::operator::ServiceStatus;
use ramp_state::fleet::Fleet;
use ramp_state::instances;
use ramp_state::instances::InstanceList;
use ramp_state::routing_table::RoutingTable;
use ramp_state::time::Millis;

use crate::balancer::Event;
use crate::balancer::Update;
use crate::control::role::Dispatch;
use crate::control::role::News;
use crate::control::role::Role;
use crate::control::role::service_status;

/// Time for which a balancer that was asked to end still forwards: the fabric
/// hears late that it leaves.
const LINGER: Duration = Duration::from_secs(3);

/// Control state of a balancer.
pub struct BalancerRole {
    membership: BalancerMembership,
    updates: Sender<Update>,
    wake: PauseId,
    view: Arc<RoutingTable>,
    end_at: Option<Millis>,
}

impl BalancerRole {
    /// Role that hands its views to the traffic thread behind `updates`.
    pub fn new(updates: Sender<Update>) -> BalancerRole {
        BalancerRole {
            membership: BalancerMembership::new(),
            updates,
            wake: PauseId::default(),
            view: Arc::default(),
            end_at: None,
        }
    }

    fn tell(&self, update: Update) {
        // A traffic thread that is gone has ended the process already.
        let _ = self.updates.send(update);
    }

    fn hand_over_view(&mut self) {
        let Some(view) = self.membership.take_view() else {
            return;
        };
        self.view = Arc::clone(&view);
        self.tell(Update::RoutingTable(view));
    }
}

impl Role for BalancerRole {
    type Event = Event;

    fn install(&mut self, now: Millis, fleet: Arc<Fleet>) {
        self.membership.install(now, fleet);
        self.hand_over_view();
    }

    fn instances(&mut self, now: Millis, list: &InstanceList) {
        self.membership.install_instances(now, list);
    }

    fn receive(&mut self, now: Millis, envelope: &Envelope) -> bool {
        self.membership.on_message(now, envelope)
    }

    fn event(&mut self, _now: Millis, event: Event) -> News {
        let Event::WokeLate(wake) = event;
        self.wake = wake;
        News::WokeLate
    }

    fn confirm(&mut self) {
        self.tell(Update::Confirm(self.wake));
    }

    fn drain(&mut self, now: Millis) {
        self.end_at = Some(now + LINGER);
    }

    fn tick(&mut self, now: Millis) {
        self.membership.tick(now);
        self.hand_over_view();
    }

    fn peers(&self) -> Vec<Peer> {
        Vec::new()
    }

    fn is_done(&self, now: Millis) -> bool {
        self.end_at.is_some_and(|at| now >= at)
    }

    fn kind(&self) -> instances::Role {
        instances::Role::Balancer
    }

    fn services(&self) -> Vec<ServiceStatus> {
        let groups = self.view.groups();
        groups
            .map(|group| service_status(group, &IndexMap::new()))
            .collect()
    }

    fn flows(&self) -> u32 {
        0
    }

    fn take_sends(&mut self) -> Vec<Dispatch> {
        Vec::new()
    }
}

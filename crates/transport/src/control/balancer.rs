//! Balancer's part of the control thread: builds the routing table and gives
//! it to the traffic thread.

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
use crate::control::role::Role;
use crate::control::role::RoleOutput;
use crate::control::role::service_status;

/// Time for which a balancer that was asked to end still forwards packets. The
/// fabric learns with a delay that the balancer leaves, and sends packets to it
/// until then.
const SHUTDOWN_DELAY: Duration = Duration::from_secs(3);

/// Control state of a balancer.
pub struct BalancerRole {
    membership: BalancerMembership,
    updates: Sender<Update>,
    pause_id: PauseId,
    routing_table: Arc<RoutingTable>,
    exit_at: Option<Millis>,
}

impl BalancerRole {
    /// Creates a role that sends each new routing table to the traffic thread
    /// through `updates`.
    pub fn new(updates: Sender<Update>) -> BalancerRole {
        BalancerRole {
            membership: BalancerMembership::new(),
            updates,
            pause_id: PauseId::default(),
            routing_table: Arc::default(),
            exit_at: None,
        }
    }

    fn send_update(&self, update: Update) {
        // Fails only after the traffic thread has failed, which ends the process.
        let _ = self.updates.send(update);
    }

    fn publish_routing_table(&mut self) {
        let Some(routing_table) = self.membership.take_view() else {
            return;
        };
        self.routing_table = Arc::clone(&routing_table);
        self.send_update(Update::RoutingTable(routing_table));
    }
}

impl Role for BalancerRole {
    type Event = Event;

    fn install(&mut self, now: Millis, fleet: Arc<Fleet>) {
        self.membership.install(now, fleet);
        self.publish_routing_table();
    }

    fn install_instances(&mut self, now: Millis, list: &InstanceList) {
        self.membership.install_instances(now, list);
    }

    fn on_message(&mut self, now: Millis, envelope: &Envelope) -> bool {
        self.membership.on_message(now, envelope)
    }

    fn on_event(&mut self, _now: Millis, event: Event) -> RoleOutput {
        let Event::Paused(pause_id) = event;
        self.pause_id = pause_id;
        RoleOutput::Paused
    }

    fn confirm(&mut self) {
        self.send_update(Update::Confirm(self.pause_id));
    }

    fn drain(&mut self, now: Millis) {
        self.exit_at = Some(now + SHUTDOWN_DELAY);
    }

    fn tick(&mut self, now: Millis) {
        self.membership.tick(now);
        self.publish_routing_table();
    }

    fn peers(&self) -> Vec<Peer> {
        Vec::new()
    }

    fn is_done(&self, now: Millis) -> bool {
        self.exit_at.is_some_and(|at| now >= at)
    }

    fn kind(&self) -> instances::Role {
        instances::Role::Balancer
    }

    fn services(&self) -> Vec<ServiceStatus> {
        let groups = self.routing_table.groups();
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

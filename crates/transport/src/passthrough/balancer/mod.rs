//! Traffic thread of a balancer in passthrough mode. Forwards callers' packets to
//! agents, and asks agents for the owners of flows that it does not know.

mod egress;
mod peers;
mod pending_replies;
mod relay;
mod timers;

use std::io;
use std::marker::PhantomData;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use flume::Receiver;
use flume::Sender;
use flume::TryRecvError;
use ramp_coordination::passthrough::balancer::Action;
use ramp_coordination::passthrough::balancer::Balancer;
use ramp_coordination::passthrough::balancer::Reset;
use ramp_coordination::passthrough::egress::Class;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::reachability::Reachability;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::packet::Segment;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::time::Millis;

use self::egress::Egress;
use self::egress::Outlet;
use self::pending_replies::PendingReplies;
use super::owner_queries::OwnerQueries;
use super::process_settings::ProcessSettings;
use super::sockets;
use super::telemetry::balancer::Telemetry;
use super::telemetry::view_changes;
use super::thread_messages::Event;
use super::thread_messages::Update;
use crate::clock;
use crate::clock::Clock;

/// Time in which the routers detect that a balancer is not ready.
const ROUTER_WITHDRAWAL_TIME: Duration = Duration::from_millis(1500);

/// Time without a packet from the routers after which a balancer that shuts down
/// exits.
const ROUTER_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Part of the shutdown grace period that is reserved for the exit itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(1000);

/// Minimum wait for packets when a reply is about to become overdue.
const MIN_POLL_WAIT: Duration = Duration::from_millis(1);

/// Maximum time between two checks for overdue replies, even if frames of agents
/// keep arriving.
const MAX_OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of batches of agents' frames that are read before the check for
/// overdue replies.
const MAX_PEER_BATCHES: usize = 4;

/// Parameters of the traffic thread.
pub struct Traffic {
    /// Settings of the process.
    pub settings: ProcessSettings,
    /// Clock of the process.
    pub clock: Clock,
    /// Socket for packets from the routers and for resets to callers.
    pub data: UdpSocket,
    /// Socket for frames to and from agents.
    pub peers: UdpSocket,
    /// Messages from the control thread; this thread ends when the sender is gone.
    pub updates: Receiver<Update>,
    /// Messages to the control thread.
    pub events: Sender<Event>,
}

struct Worker<F> {
    traffic: Traffic,
    view: Option<Arc<View>>,
    balancer: Balancer,
    /// Newest revision that was reported to the control thread.
    reported_revision: Revision,
    reachability: Reachability,
    /// Whether any agent answers, as last reported to the control thread.
    agents_reachable: bool,
    owner_queries: OwnerQueries,
    /// Packets for which a reply of an agent is due.
    pending_replies: PendingReplies,
    /// Time of the last check for overdue replies.
    overdue_checked_at: Millis,
    /// Whether `reset_unowned_flows` has not handled the current view yet.
    view_is_new: bool,
    shutdown_since: Option<Millis>,
    last_packet_at: Millis,
    /// Datagrams that wait for the link; none if the link is not narrow.
    egress: Option<Egress>,
    telemetry: Telemetry,
    send_buf: Vec<u8>,
    format: PhantomData<F>,
}

impl Traffic {
    /// Runs until the control thread is gone or the shutdown is complete.
    ///
    /// # Errors
    ///
    /// A socket failed.
    pub fn run<F: PacketFormat>(self) -> io::Result<()> {
        // Lowest bits of the start time: they differ between two processes that run
        // at this address one after the other.
        let first_number = clock::incarnation().0 as u32;
        let balancer = Balancer::new()
            .with_start(self.clock.now())
            .with_link_rate(self.settings.link_rate)
            .with_relay_client(self.settings.ip, first_number);
        let egress = Egress::for_link(self.settings.link_rate);
        let mut worker = Worker::<F> {
            traffic: self,
            view: None,
            balancer,
            reported_revision: Revision(0),
            reachability: Reachability::default(),
            agents_reachable: true,
            owner_queries: OwnerQueries::default(),
            pending_replies: PendingReplies::default(),
            overdue_checked_at: Millis(0),
            view_is_new: false,
            shutdown_since: None,
            last_packet_at: Millis(0),
            egress,
            telemetry: Telemetry::default(),
            send_buf: Vec::with_capacity(sockets::DATAGRAM_LIMIT_BYTES),
            format: PhantomData,
        };
        let mut buf = vec![0; sockets::DATAGRAM_LIMIT_BYTES];
        while worker.handle_updates() && !worker.is_finished() {
            worker.run_once(&mut buf)?;
        }
        // Sending fails if the control thread is already gone.
        let _ = worker.traffic.events.send(Event::Finished);
        Ok(())
    }
}

impl<F: PacketFormat> Worker<F> {
    fn handle_updates(&mut self) -> bool {
        loop {
            match self.traffic.updates.try_recv() {
                Ok(Update::View(view)) => self.install_view(view),
                // Only agents check their server.
                Ok(Update::ConnectChecked(_)) => {}
                Ok(Update::Shutdown) => self.shutdown_since = Some(self.traffic.clock.now()),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn install_view(&mut self, view: Arc<View>) {
        view_changes::log_changes(self.view.as_deref(), &view);
        self.view = Some(view);
        self.view_is_new = true;
    }

    /// Resets the callers of flows that no server has according to a new view.
    fn reset_unowned_flows(&mut self) {
        let Some(view) = self.view.clone().filter(|_| self.view_is_new) else {
            return;
        };
        self.view_is_new = false;
        let now = self.traffic.clock.now();
        for reset in self.balancer.on_new_view(&view, now) {
            self.send_reset(reset);
        }
    }

    fn is_finished(&self) -> bool {
        let Some(since) = self.shutdown_since else {
            return false;
        };
        let now = self.traffic.clock.now();
        let is_quiet = now.since(self.last_packet_at) >= ROUTER_SILENCE_TIMEOUT;
        let elapsed = now.since(since);
        let limit = self
            .traffic
            .settings
            .shutdown_grace
            .saturating_sub(SHUTDOWN_MARGIN);
        elapsed >= limit || (elapsed >= ROUTER_WITHDRAWAL_TIME && is_quiet)
    }

    fn run_once(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let sockets_to_poll = [&self.traffic.data, &self.traffic.peers];
        let [data, peers] = sockets::wait(sockets_to_poll, self.time_to_next())?;
        // Must come first: a reply that is still in the socket is not overdue.
        let all_peers_read = !peers || self.read_peers(buf)?;
        if data {
            self.read_data(buf)?;
        }
        let now = self.traffic.clock.now();
        if all_peers_read || now.since(self.overdue_checked_at) >= MAX_OVERDUE_CHECK_INTERVAL {
            self.overdue_checked_at = now;
            self.reset_unowned_flows();
            self.handle_overdue();
        }
        self.send_owner_queries();
        self.send_relay_queries();
        self.update_reachability();
        self.drain_egress();
        self.report_newer_revision();
        Ok(())
    }

    fn read_data(&mut self, buf: &mut [u8]) -> io::Result<()> {
        for _ in 0..sockets::BATCH_DATAGRAMS {
            let Some((len, _)) = sockets::receive(&self.traffic.data, buf)? else {
                return Ok(());
            };
            self.last_packet_at = self.traffic.clock.now();
            self.handle_packet(&mut buf[..len]);
        }
        Ok(())
    }

    /// Reads frames of agents. True: none is left in the socket.
    fn read_peers(&mut self, buf: &mut [u8]) -> io::Result<bool> {
        for _ in 0..sockets::BATCH_DATAGRAMS * MAX_PEER_BATCHES {
            let Some((len, from)) = sockets::receive(&self.traffic.peers, buf)? else {
                return Ok(true);
            };
            self.handle_frame(&mut buf[..len], from);
        }
        Ok(false)
    }

    fn handle_packet(&mut self, packet: &mut [u8]) {
        let Some(view) = self.view.clone() else {
            return;
        };
        self.telemetry.packet();
        let Some(parsed) = F::read(packet) else {
            self.telemetry.unreadable();
            return;
        };
        let now = self.traffic.clock.now();
        let action = self.balancer.on_packet(&view, now, &parsed.segment);
        self.track_reply(&parsed.segment, &action, packet, 0);
        self.execute(&view, &parsed.segment, action, packet);
        self.record_data(&parsed.segment);
    }

    /// Keeps the packet until its reply is due, if the action expects a reply.
    fn track_reply(&mut self, seg: &Segment, action: &Action, packet: &[u8], repeats: u32) {
        let now = self.traffic.clock.now();
        let link_delay = self.balancer.link_delay(now);
        self.pending_replies
            .add(now, seg, action, packet, repeats, link_delay);
    }

    fn execute(&mut self, view: &View, seg: &Segment, action: Action, packet: &[u8]) {
        self.telemetry.action(view, seg, &action);
        self.log_stalled_search(view, seg, &action);
        let flow = seg.key;
        match action {
            Action::Forward {
                agent,
                inquiry,
                service,
            } => {
                if inquiry != Inquiry::None {
                    self.reachability.record_query(self.traffic.clock.now());
                }
                let kind = FrameKind::Forward(inquiry);
                self.send_frame(view, flow, agent, kind, service, packet);
            }
            Action::QueryOwner(query) => {
                let kind = FrameKind::Forward(Inquiry::OwnerOfCopy);
                for agent in &query.packet_copies {
                    self.send_frame(view, flow, *agent, kind, ServiceId(0), packet);
                }
                if !seg.opens && query.asks_by_key() {
                    self.owner_queries.keep_packet(flow, packet);
                }
                self.owner_queries.add(flow, &query.by_key);
                if let Some(request) = query.relay {
                    self.owner_queries.add_relayed(flow, request);
                }
            }
            Action::Reset(reset) => self.send_reset(reset),
            Action::Drop(_) => {}
        }
    }

    /// Logs which agents a stalled search for an owner waits for.
    fn log_stalled_search(&mut self, view: &View, seg: &Segment, action: &Action) {
        if !matches!(action, Action::QueryOwner(_) | Action::Drop(_)) {
            return;
        }
        let now = self.traffic.clock.now();
        if let Some(stalled) = self.balancer.stalled_search(view, now, &seg.key) {
            self.telemetry.stalled_search(&seg.key, &stalled);
        }
    }

    fn send_frame(
        &mut self,
        view: &View,
        flow: FlowKey,
        agent: Ipv4Addr,
        kind: FrameKind,
        service: ServiceId,
        packet: &[u8],
    ) {
        let frame = Frame {
            kind,
            flow,
            service,
            version: view.version,
            revision: view.newest.0,
            in_progress: 0,
            knows_all_flows: false,
            misses_servers: false,
            uptime: Duration::ZERO,
        };
        frame.write(packet, &mut self.send_buf);
        let now = self.traffic.clock.now();
        if matches!(
            kind,
            FrameKind::OwnerQuery
                | FrameKind::RelayQuery
                | FrameKind::Forward(Inquiry::OwnerOfCopy)
        ) {
            self.balancer.note_search_sent(now, self.send_buf.len());
        }
        let to = SocketAddrV4::new(agent, self.traffic.settings.data_port);
        self.send(Outlet::Agents, to, |egress, now| {
            egress.frame_class::<F>(now, view, kind, packet)
        });
    }

    fn send_reset(&mut self, reset: Reset) {
        self.owner_queries.take_packet(&reset.flow);
        F::write_reset(&reset.flow, reset.seq, &mut self.send_buf);
        let to = SocketAddrV4::new(*reset.flow.caller.ip(), self.traffic.settings.data_port);
        self.telemetry.reset(self.view.as_deref(), &reset);
        self.send(Outlet::Callers, to, |_, _| Class::Control);
    }
}

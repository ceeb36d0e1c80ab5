//! Traffic thread of a balancer whose packets pass through.

mod peers;
mod pending_replies;
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

use self::pending_replies::PendingReplies;
use super::owner_queries::OwnerQueries;
use super::process_settings::ProcessSettings;
use super::sockets;
use super::telemetry::balancer::Telemetry;
use super::telemetry::view_changes;
use super::thread_messages::Event;
use super::thread_messages::Update;
use crate::clock::Clock;

/// Time in which the routers notice that a balancer is not ready.
const ROUTERS_LEAVE: Duration = Duration::from_millis(1500);

/// Silence of the routers after which a leaving balancer ends.
const QUIET: Duration = Duration::from_millis(500);

/// Time kept back from the shutdown_grace time for the end itself.
const END_MARGIN: Duration = Duration::from_millis(1000);

/// Shortest wait for packets while an answer is nearly overdue.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// Longest time for which overdue answers are not looked at, however many come.
const CHECK_EVERY: Duration = Duration::from_millis(500);

/// Batches of peers' datagrams that are read before anything counts as overdue.
const PEER_BATCHES: usize = 4;

/// What the traffic thread is started with.
pub struct Traffic {
    /// Where the process runs.
    pub settings: ProcessSettings,
    /// Clock of the process.
    pub clock: Clock,
    /// Socket that the routers send to.
    pub data: UdpSocket,
    /// Socket between balancers and agents.
    pub peers: UdpSocket,
    /// News from control; the thread ends when control is gone.
    pub updates: Receiver<Update>,
    /// News to control.
    pub events: Sender<Event>,
}

struct Worker<F> {
    traffic: Traffic,
    view: Option<Arc<View>>,
    balancer: Balancer,
    heard: Revision,
    reach: Reachability,
    reaches: bool,
    owner_queries: OwnerQueries,
    /// Packets whose questions may stay unanswered.
    pending: PendingReplies,
    /// When answers were last looked at that are overdue.
    checked_at: Millis,
    /// Whether the view is newer than what was last concluded from it.
    view_is_new: bool,
    leaving_since: Option<Millis>,
    last_packet: Millis,
    telemetry: Telemetry,
    out: Vec<u8>,
    format: PhantomData<F>,
}

impl Traffic {
    /// Runs until control is gone or a leaving balancer has nothing to do.
    ///
    /// # Errors
    ///
    /// A socket failed.
    pub fn run<F: PacketFormat>(self) -> io::Result<()> {
        let mut worker = Worker::<F> {
            traffic: self,
            view: None,
            balancer: Balancer::new(),
            heard: Revision(0),
            reach: Reachability::default(),
            reaches: true,
            owner_queries: OwnerQueries::default(),
            pending: PendingReplies::default(),
            checked_at: Millis(0),
            view_is_new: false,
            leaving_since: None,
            last_packet: Millis(0),
            telemetry: Telemetry::default(),
            out: Vec::with_capacity(sockets::DATAGRAM_LIMIT_BYTES),
            format: PhantomData,
        };
        let mut buf = vec![0; sockets::DATAGRAM_LIMIT_BYTES];
        while worker.take_updates() && !worker.is_finished() {
            worker.turn(&mut buf)?;
        }
        // Control may be gone already, which also ends this thread.
        let _ = worker.traffic.events.send(Event::Finished);
        Ok(())
    }
}

impl<F: PacketFormat> Worker<F> {
    fn take_updates(&mut self) -> bool {
        loop {
            match self.traffic.updates.try_recv() {
                Ok(Update::View(view)) => self.take_view(view),
                // Only an agent has a server beside it.
                Ok(Update::ConnectChecked(_)) => {}
                Ok(Update::Shutdown) => self.leaving_since = Some(self.traffic.clock.now()),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn take_view(&mut self, view: Arc<View>) {
        view_changes::log_changes(self.view.as_deref(), &view);
        self.view = Some(view);
        self.view_is_new = true;
    }

    /// Resets callers whose flows nobody owns by a new view.
    fn conclude(&mut self) {
        let Some(view) = self.view.clone().filter(|_| self.view_is_new) else {
            return;
        };
        self.view_is_new = false;
        let now = self.traffic.clock.now();
        for reset in self.balancer.on_new_view(&view, now) {
            self.reset(reset);
        }
    }

    fn is_finished(&self) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let now = self.traffic.clock.now();
        let quiet = now.since(self.last_packet) >= QUIET;
        let spent = now.since(since);
        let limit = self
            .traffic
            .settings
            .shutdown_grace
            .saturating_sub(END_MARGIN);
        spent >= limit || (spent >= ROUTERS_LEAVE && quiet)
    }

    fn turn(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let both = [&self.traffic.data, &self.traffic.peers];
        let [data, peers] = sockets::wait(both, self.time_to_next())?;
        // An answer that waits at the socket is not overdue.
        let all_heard = !peers || self.read_peers(buf)?;
        if data {
            self.read_data(buf)?;
        }
        let now = self.traffic.clock.now();
        if all_heard || now.since(self.checked_at) >= CHECK_EVERY {
            self.checked_at = now;
            self.conclude();
            self.handle_overdue();
        }
        self.send_questions();
        self.watch_reach();
        self.tell_heard();
        Ok(())
    }

    fn read_data(&mut self, buf: &mut [u8]) -> io::Result<()> {
        for _ in 0..sockets::BATCH_DATAGRAMS {
            let Some((len, _)) = sockets::receive(&self.traffic.data, buf)? else {
                return Ok(());
            };
            self.last_packet = self.traffic.clock.now();
            self.handle_packet(&mut buf[..len]);
        }
        Ok(())
    }

    /// Whether everything that had come was read.
    fn read_peers(&mut self, buf: &mut [u8]) -> io::Result<bool> {
        for _ in 0..sockets::BATCH_DATAGRAMS * PEER_BATCHES {
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
        let Some(passing) = F::read(packet) else {
            self.telemetry.unreadable();
            return;
        };
        let now = self.traffic.clock.now();
        let step = self.balancer.on_packet(&view, now, &passing.segment);
        self.expect_answer(&passing.segment, &step, packet, 0);
        self.carry_out(&view, &passing.segment, step, packet);
    }

    /// Keeps a packet that is sent with a question until the answer is due.
    fn expect_answer(&mut self, seg: &Segment, step: &Action, packet: &[u8], repeats: u32) {
        let now = self.traffic.clock.now();
        self.pending.add(now, seg, step, packet, repeats);
    }

    fn carry_out(&mut self, view: &View, seg: &Segment, step: Action, packet: &[u8]) {
        self.telemetry.step(view, seg, &step);
        self.tell_held_up(view, seg, &step);
        let flow = seg.key;
        match step {
            Action::Forward {
                agent,
                inquiry,
                service,
            } => {
                if inquiry != Inquiry::None {
                    self.reach.record_query(self.traffic.clock.now());
                }
                let kind = FrameKind::Forward(inquiry);
                self.send(view, flow, agent, kind, service, packet);
            }
            Action::QueryOwner(question) => {
                let kind = FrameKind::Forward(Inquiry::OwnerOfCopy);
                for agent in question.packet_copies {
                    self.send(view, flow, agent, kind, ServiceId(0), packet);
                }
                self.owner_queries.add(flow, &question.by_key);
                if !seg.opens && !question.by_key.is_empty() {
                    self.owner_queries.keep_packet(flow, packet);
                }
            }
            Action::Reset(reset) => self.reset(reset),
            Action::Drop(_) => {}
        }
    }

    /// Tells whom a search waits for that does not end.
    fn tell_held_up(&mut self, view: &View, seg: &Segment, step: &Action) {
        if !matches!(step, Action::QueryOwner(_) | Action::Drop(_)) {
            return;
        }
        let now = self.traffic.clock.now();
        if let Some(held_up) = self.balancer.stalled_search(view, now, &seg.key) {
            self.telemetry.held_up(&seg.key, &held_up);
        }
    }

    fn send(
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
        frame.write(packet, &mut self.out);
        let to = SocketAddrV4::new(agent, self.traffic.settings.data_port);
        if let Err(err) = self.traffic.peers.send_to(&self.out, to) {
            self.telemetry.send_failed(to, &err);
        }
    }

    fn reset(&mut self, reset: Reset) {
        self.owner_queries.take_packet(&reset.flow);
        F::write_reset(&reset.flow, reset.seq, &mut self.out);
        let to = SocketAddrV4::new(*reset.flow.caller.ip(), self.traffic.settings.data_port);
        self.telemetry.reset(self.view.as_deref(), &reset);
        if let Err(err) = self.traffic.data.send_to(&self.out, to) {
            self.telemetry.send_failed(to, &err);
        }
    }
}

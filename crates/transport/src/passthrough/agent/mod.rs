//! Traffic thread of an agent whose packets pass through.

mod inbound;
mod outbound;

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
use indexmap::IndexMap;
use ramp_coordination::passthrough::agent::Agent;
use ramp_coordination::passthrough::agent::ConnectResult;
use ramp_coordination::passthrough::agent::LostFlow;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::NO_FLOW;
use ramp_state::key::FlowKey;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use super::process_settings::LocalServer;
use super::process_settings::ProcessSettings;
use super::sockets;
use super::telemetry::agent::Telemetry;
use super::telemetry::view_changes;
use super::thread_messages::Event;
use super::thread_messages::Update;
use crate::clock::Clock;
use crate::udp;

/// Longest time for which a leaving agent waits for requests in progress.
const LEAVE_LIMIT: Duration = Duration::from_millis(800);

/// Shortest time for which a leaving agent goes on.
const LEAVE_LEAST: Duration = Duration::from_millis(100);

/// Shortest wait for packets while a new flow has nearly waited for too long.
const SHORTEST_TURN: Duration = Duration::from_millis(1);

/// Longest wait for packets while the server may be gone.
const DOUBTFUL_TURN: Duration = Duration::from_millis(25);

/// What the traffic thread is started with.
pub struct Traffic {
    /// Where the process runs.
    pub settings: ProcessSettings,
    /// The server local_server it.
    pub local_server: LocalServer,
    /// Clock of the process.
    pub clock: Clock,
    /// Tells this process's marks from those of an earlier one.
    pub nonce: u8,
    /// Start of the process, Unix milliseconds.
    pub started_ms: u64,
    /// Socket that balancers send to.
    pub data: UdpSocket,
    /// Socket that the server sends to.
    pub outbound: UdpSocket,
    /// News from control; the thread ends when control is gone.
    pub updates: Receiver<Update>,
    /// News to control.
    pub events: Sender<Event>,
    /// Wishes to know whether the server takes connections.
    pub connect_checks: Sender<()>,
}

struct Worker<F> {
    traffic: Traffic,
    view: Option<Arc<View>>,
    agent: Agent,
    /// Opening packets of flows that wait for a slot.
    waiting: IndexMap<FlowKey, Vec<u8>>,
    heard: Revision,
    leaving_since: Option<Millis>,
    /// Whether all flows of the server are known, as last told.
    complete: Option<bool>,
    telemetry: Telemetry,
    out: Vec<u8>,
    format: PhantomData<F>,
}

impl Traffic {
    /// Runs until control is gone or a leaving agent has nothing to do.
    ///
    /// # Errors
    ///
    /// A socket failed.
    pub fn run<F: PacketFormat>(self) -> io::Result<()> {
        let agent = Agent::new(
            self.settings.ip,
            self.local_server.service,
            self.nonce,
            self.started_ms,
            self.clock.now(),
        );
        let mut worker = Worker::<F> {
            traffic: self,
            view: None,
            agent,
            waiting: IndexMap::new(),
            heard: Revision(0),
            leaving_since: None,
            complete: None,
            telemetry: Telemetry::default(),
            out: Vec::with_capacity(sockets::DATAGRAM_LIMIT_BYTES),
            format: PhantomData,
        };
        let mut buf = vec![0; sockets::DATAGRAM_LIMIT_BYTES];
        while worker.take_updates() && !worker.is_finished() {
            worker.turn(&mut buf)?;
        }
        worker.say_farewell();
        // Control may be gone already, which also ends this thread.
        let _ = worker.traffic.events.send(Event::Finished);
        Ok(())
    }
}

impl<F: PacketFormat> Worker<F> {
    fn take_updates(&mut self) -> bool {
        loop {
            match self.traffic.updates.try_recv() {
                Ok(Update::View(view)) => {
                    view_changes::log_changes(self.view.as_deref(), &view);
                    self.agent.check_clock(&view, self.traffic.clock.now());
                    self.view = Some(view);
                }
                Ok(Update::ConnectChecked(reached)) => self.take_tried(reached),
                Ok(Update::Shutdown) => {
                    self.agent.begin_shutdown();
                    self.leaving_since = Some(self.traffic.clock.now());
                }
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// Tells the callers of flows that ended with the server.
    fn take_tried(&mut self, reached: ConnectResult) {
        let was_absent = self.agent.is_server_absent();
        let now = self.traffic.clock.now();
        let lost = self
            .agent
            .record_connect_check(self.view.as_deref(), now, reached);
        let absent = self.agent.is_server_absent();
        if absent != was_absent {
            self.telemetry.presence(!absent, lost.len());
        }
        for LostFlow { flow, seq } in lost {
            F::write_reset(&flow, seq, &mut self.out);
            self.to_caller(flow, &self.out);
        }
    }

    /// Asks for a try where the server may be gone.
    fn try_server(&mut self) {
        let now = self.traffic.clock.now();
        if self.agent.connect_check_due(self.view.as_deref(), now) {
            // Control outlives this thread; if it is gone, the next turn ends.
            let _ = self.traffic.connect_checks.send(());
        }
    }

    /// Tells the balancers that no server is left here, if so.
    fn say_farewell(&mut self) {
        for balancer in self.agent.shutdown_notice_recipients().to_vec() {
            self.tell(balancer, FrameKind::Shutdown, NO_FLOW, &[]);
        }
    }

    fn is_finished(&self) -> bool {
        let Some(since) = self.leaving_since else {
            return false;
        };
        let spent = self.traffic.clock.now().since(since);
        spent >= LEAVE_LIMIT || (spent >= LEAVE_LEAST && self.agent.in_progress() == 0)
    }

    fn turn(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let both = [&self.traffic.data, &self.traffic.outbound];
        let [data, outbound] = sockets::wait(both, self.time_to_next())?;
        let now = self.traffic.clock.now();
        self.agent.tick(self.view.as_deref(), now);
        if outbound {
            self.read_server(buf)?;
        }
        if data {
            self.read_balancers(buf)?;
        }
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        for unanswered in self.agent.take_unanswered_requests(view, now) {
            self.telemetry.unanswered(&unanswered);
        }
        self.release_waiting();
        self.try_server();
        self.announce();
        self.watch_knowledge();
        Ok(())
    }

    /// Time until something must be done without a packet.
    fn time_to_next(&self) -> Duration {
        if self.agent.needs_frequent_connect_checks() {
            return DOUBTFUL_TURN;
        }
        let left = self.agent.time_to_queue_timeout(self.traffic.clock.now());
        left.map_or(udp::IDLE_READ_TIMEOUT, |left| {
            left.clamp(SHORTEST_TURN, udp::IDLE_READ_TIMEOUT)
        })
    }

    /// Tells when what this process knows of its server's flows has changed.
    fn watch_knowledge(&mut self) {
        let Some(view) = self.view.as_deref() else {
            return;
        };
        let complete = self
            .agent
            .knows_all_flows(Some(view), self.traffic.clock.now());
        if self.complete != Some(complete) {
            self.complete = Some(complete);
            let born_ms = view.member(self.traffic.settings.ip).map(|m| m.born_ms);
            self.telemetry
                .knowledge(complete, born_ms, self.traffic.started_ms);
        }
    }

    /// Gives signs of life while the server is not listed.
    fn announce(&mut self) {
        let now = self.traffic.clock.now();
        for balancer in self.agent.due_heartbeats(self.view.as_deref(), now) {
            self.tell(balancer, FrameKind::Heartbeat, NO_FLOW, &[]);
        }
    }

    fn read_balancers(&mut self, buf: &mut [u8]) -> io::Result<()> {
        for _ in 0..sockets::BATCH_DATAGRAMS {
            let Some((len, from)) = sockets::receive(&self.traffic.data, buf)? else {
                return Ok(());
            };
            self.handle_frame(&mut buf[..len], from);
        }
        Ok(())
    }

    fn read_server(&mut self, buf: &mut [u8]) -> io::Result<()> {
        for _ in 0..sockets::BATCH_DATAGRAMS {
            let Some((len, _)) = sockets::receive(&self.traffic.outbound, buf)? else {
                return Ok(());
            };
            self.handle_server(&buf[..len]);
        }
        Ok(())
    }

    fn to_server(&self, packet: &[u8]) {
        let server = self.traffic.local_server.address;
        if let Err(err) = self.traffic.outbound.send_to(packet, server) {
            self.telemetry.send_failed(server, &err);
        }
    }

    fn to_caller(&self, flow: FlowKey, packet: &[u8]) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.traffic.settings.data_port);
        if let Err(err) = self.traffic.data.send_to(packet, to) {
            self.telemetry.send_failed(to, &err);
        }
    }

    fn tell(&mut self, to: Ipv4Addr, kind: FrameKind, flow: FlowKey, packet: &[u8]) {
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        let frame = Frame {
            kind,
            flow,
            service: self.traffic.local_server.service,
            version: view.map_or(Version(0), |v| v.version),
            revision: view.map_or(0, |v| v.newest.0),
            in_progress: self.agent.in_progress(),
            knows_all_flows: self.agent.knows_all_flows(view, now),
            misses_servers: view.is_some_and(|v| v.misses_servers(now)),
            uptime: self.agent.uptime(now),
        };
        frame.write(packet, &mut self.out);
        let to = SocketAddrV4::new(to, self.traffic.settings.peer_port);
        if let Err(err) = self.traffic.data.send_to(&self.out, to) {
            self.telemetry.send_failed(to, &err);
        }
    }
}

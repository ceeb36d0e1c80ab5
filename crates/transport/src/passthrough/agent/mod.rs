//! Traffic thread of an agent in passthrough mode. Forwards packets from balancers
//! to the local backend server and the server's packets to the callers, and
//! answers owner queries.

mod inbound;
mod outbound;
mod relay;

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
use ramp_coordination::passthrough::search_relay::SearchRelay;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::capacity_report::carries_capacity_report;
use ramp_protocol::capacity_report::write_capacity_report;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::NO_FLOW;
use ramp_state::key::FlowKey;
use ramp_state::key::Version;

use super::process_settings::LocalServer;
use super::process_settings::ProcessSettings;
use super::sockets;
use super::telemetry::agent::Telemetry;
use super::telemetry::view_changes;
use super::thread_messages::Event;
use super::thread_messages::Update;
use crate::clock::Clock;
use crate::udp;

/// Minimum wait for packets when the timeout of a queued flow is about to expire.
const MIN_POLL_WAIT: Duration = Duration::from_millis(1);

/// Maximum wait for packets while it is uncertain whether the server is running.
const MAX_POLL_WAIT_UNCERTAIN: Duration = Duration::from_millis(25);

/// Parameters of the traffic thread.
pub struct Traffic {
    /// Settings of the process.
    pub settings: ProcessSettings,
    /// Backend server on the same machine.
    pub local_server: LocalServer,
    /// Clock of the process.
    pub clock: Clock,
    /// Distinguishes the marks of this process from those of an earlier one.
    pub nonce: u8,
    /// Start of the process, Unix milliseconds.
    pub started_ms: u64,
    /// Socket for frames from balancers and for packets to callers.
    pub data: UdpSocket,
    /// Socket for packets from and to the server.
    pub outbound: UdpSocket,
    /// Messages from the control thread; this thread ends when the sender is gone.
    pub updates: Receiver<Update>,
    /// Messages to the control thread.
    pub events: Sender<Event>,
    /// Requests to check whether the server accepts connections.
    pub connect_checks: Sender<()>,
}

struct Worker<F> {
    traffic: Traffic,
    view: Option<Arc<View>>,
    agent: Agent,
    /// Owner queries that this agent relays for balancers.
    relay: SearchRelay,
    /// Opening packets of the flows that are queued for a slot.
    queued_packets: IndexMap<FlowKey, Vec<u8>>,
    /// Newest revision that was reported to the control thread.
    reported_revision: Revision,
    /// Whether all flows of the server were known when this was last logged.
    knows_all_flows: Option<bool>,
    /// Length of the queue, and whether the server was overloaded, when last reported.
    reported_queue: (usize, bool),
    /// Capacity report that the metrics show.
    shown_capacity: Option<CapacityReport>,
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
        let agent = Agent::new(
            self.settings.ip,
            self.local_server.service,
            self.nonce,
            self.started_ms,
            self.clock.now(),
        );
        // Lowest bits of the start time: they differ between two processes that run
        // at this address one after the other.
        let relay = SearchRelay::new(self.started_ms as u32);
        let mut worker = Worker::<F> {
            traffic: self,
            view: None,
            agent,
            relay,
            queued_packets: IndexMap::new(),
            reported_revision: Revision(0),
            knows_all_flows: None,
            reported_queue: (0, false),
            shown_capacity: None,
            telemetry: Telemetry::default(),
            send_buf: Vec::with_capacity(sockets::DATAGRAM_LIMIT_BYTES),
            format: PhantomData,
        };
        let mut buf = vec![0; sockets::DATAGRAM_LIMIT_BYTES];
        while worker.handle_updates() && !worker.agent.may_exit(worker.traffic.clock.now()) {
            worker.run_once(&mut buf)?;
        }
        worker.send_shutdown_notices();
        // Sending fails if the control thread is already gone.
        let _ = worker.traffic.events.send(Event::Finished);
        Ok(())
    }
}

impl<F: PacketFormat> Worker<F> {
    fn handle_updates(&mut self) -> bool {
        loop {
            match self.traffic.updates.try_recv() {
                Ok(Update::View(view)) => {
                    view_changes::log_changes(self.view.as_deref(), &view);
                    self.agent.check_clock(&view, self.traffic.clock.now());
                    self.view = Some(view);
                }
                Ok(Update::ConnectChecked(result)) => self.on_connect_check(result),
                Ok(Update::Shutdown) => self.agent.begin_shutdown(self.traffic.clock.now()),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// Handles the result of a connect check. If the server is gone, resets the
    /// callers of its flows.
    fn on_connect_check(&mut self, result: ConnectResult) {
        let was_absent = self.agent.is_server_absent();
        let now = self.traffic.clock.now();
        let lost = self
            .agent
            .record_connect_check(self.view.as_deref(), now, result);
        let absent = self.agent.is_server_absent();
        if absent != was_absent {
            self.telemetry.server_presence(!absent, lost.len());
        }
        for LostFlow { flow, seq } in lost {
            F::write_reset(&flow, seq, &mut self.send_buf);
            self.send_to_caller(flow, &self.send_buf);
        }
    }

    /// Requests a connect check if one is due.
    fn request_connect_check(&mut self) {
        let now = self.traffic.clock.now();
        if self.agent.connect_check_due(self.view.as_deref(), now) {
            // Sending fails only if the control thread is gone; then the next
            // loop iteration ends this thread.
            let _ = self.traffic.connect_checks.send(());
        }
    }

    /// Notifies the balancers that the agent stops, if its server is gone too.
    fn send_shutdown_notices(&mut self) {
        for balancer in self.agent.shutdown_notice_recipients().to_vec() {
            self.send_frame(balancer, FrameKind::Shutdown, NO_FLOW, &[]);
        }
    }

    fn run_once(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let sockets_to_poll = [&self.traffic.data, &self.traffic.outbound];
        let [data, outbound] = sockets::wait(sockets_to_poll, self.time_to_next())?;
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
        self.handle_queue();
        self.send_relay_replies();
        self.report_queue();
        self.request_connect_check();
        self.send_heartbeats();
        self.log_knowledge();
        self.show_capacity();
        Ok(())
    }

    /// Time until there is something to do even if no packet arrives.
    fn time_to_next(&self) -> Duration {
        if self.agent.needs_frequent_connect_checks() {
            return MAX_POLL_WAIT_UNCERTAIN;
        }
        let now = self.traffic.clock.now();
        let timeouts = [
            self.agent.time_to_queue_timeout(now),
            self.relay.time_to_next(now),
        ];
        let left = timeouts.into_iter().flatten().min();
        left.map_or(udp::IDLE_READ_TIMEOUT, |left| {
            left.clamp(MIN_POLL_WAIT, udp::IDLE_READ_TIMEOUT)
        })
    }

    /// Logs whether this process knows all flows of its server, once and whenever
    /// that changes.
    fn log_knowledge(&mut self) {
        let Some(view) = self.view.as_deref() else {
            return;
        };
        let knows_all_flows = self
            .agent
            .knows_all_flows(Some(view), self.traffic.clock.now());
        if self.knows_all_flows != Some(knows_all_flows) {
            self.knows_all_flows = Some(knows_all_flows);
            let born_ms = view.member(self.traffic.settings.ip).map(|m| m.born_ms);
            self.telemetry
                .knowledge(knows_all_flows, born_ms, self.traffic.started_ms);
        }
    }

    /// Updates the metric of the queue's length, and logs when the server becomes
    /// overloaded and when it no longer is.
    fn report_queue(&mut self) {
        let length = self.agent.queue_len();
        let overloaded = self.agent.is_overloaded(self.traffic.clock.now());
        let reported = std::mem::replace(&mut self.reported_queue, (length, overloaded));
        if reported.0 != length {
            self.telemetry.queue_length(length);
        }
        if reported.1 != overloaded {
            let in_progress = self.agent.in_progress();
            self.telemetry.overloaded(overloaded, length, in_progress);
        }
    }

    /// Updates the metrics of the server's capacity, and logs changes of its limit.
    fn show_capacity(&mut self) {
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        let report = self.agent.capacity_report(view, now);
        if report == self.shown_capacity {
            return;
        }
        self.shown_capacity = report;
        self.telemetry.capacity(report);
        if let Some(change) = self.agent.take_limit_change(view, now) {
            self.telemetry.limit_changed(&change);
        }
    }

    /// Sends heartbeats to the balancers while the platform does not list the server,
    /// and for a while afterwards.
    fn send_heartbeats(&mut self) {
        let now = self.traffic.clock.now();
        for balancer in self.agent.due_heartbeats(self.view.as_deref(), now) {
            self.send_frame(balancer, FrameKind::Heartbeat, NO_FLOW, &[]);
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
            self.handle_server_packet(&buf[..len]);
        }
        Ok(())
    }

    fn send_to_server(&self, packet: &[u8]) {
        let server = self.traffic.local_server.address;
        if let Err(err) = self.traffic.outbound.send_to(packet, server) {
            self.telemetry.send_failed(server, &err);
        }
    }

    fn send_to_caller(&self, flow: FlowKey, packet: &[u8]) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.traffic.settings.data_port);
        if let Err(err) = self.traffic.data.send_to(packet, to) {
            self.telemetry.send_failed(to, &err);
        }
    }

    fn send_frame(&mut self, to: Ipv4Addr, kind: FrameKind, flow: FlowKey, packet: &[u8]) {
        let frame = self.header(kind, flow);
        let to = SocketAddrV4::new(to, self.traffic.settings.peer_port);
        self.send_datagram(to, &frame, packet);
    }

    /// Header of a frame of this agent.
    fn header(&self, kind: FrameKind, flow: FlowKey) -> Frame {
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        Frame {
            kind,
            flow,
            service: self.traffic.local_server.service,
            version: view.map_or(Version(0), |v| v.version),
            revision: self.agent.newest_revision(view).0,
            in_progress: self.agent.in_progress(),
            knows_all_flows: self.agent.knows_all_flows(view, now),
            misses_servers: view.is_some_and(|v| v.misses_servers(now)),
            uptime: self.agent.uptime(now),
        }
    }

    fn send_datagram(&mut self, to: SocketAddrV4, frame: &Frame, body: &[u8]) {
        let now = self.traffic.clock.now();
        let view = self.view.as_deref();
        let capacity = carries_capacity_report(frame.kind)
            .then(|| write_capacity_report(self.agent.capacity_report(view, now)));
        let body = capacity.as_ref().map_or(body, |bytes| bytes.as_slice());
        frame.write(body, &mut self.send_buf);
        if let Err(err) = self.traffic.data.send_to(&self.send_buf, to) {
            self.telemetry.send_failed(to, &err);
        }
    }
}

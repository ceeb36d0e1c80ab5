//! Traffic thread of an agent whose packets pass through.

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
use ramp_coordination::passthrough::agent::Bounce;
use ramp_coordination::passthrough::agent::Inbound;
use ramp_coordination::passthrough::agent::Release;
use ramp_coordination::passthrough::published::Revision;
use ramp_coordination::passthrough::view::View;
use ramp_protocol::format::PacketFormat;
use ramp_protocol::format::Passing;
use ramp_protocol::hop::FRAME_LEN_BYTES;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::FrameKind;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Listed;
use ramp_protocol::hop::Refusal;
use ramp_protocol::hop::read_list;
use ramp_protocol::hop::write_list;
use ramp_state::key::FlowKey;
use ramp_state::key::Version;
use ramp_state::time::Millis;

use super::account::agent::Account;
use super::account::beliefs;
use super::news::Event;
use super::news::Update;
use super::place::Beside;
use super::place::Place;
use super::sockets;
use crate::clock::Clock;
use crate::udp;

/// Longest time for which a leaving agent waits for requests in progress.
const LEAVE_LIMIT: Duration = Duration::from_millis(800);

/// Shortest time for which a leaving agent goes on.
const LEAVE_LEAST: Duration = Duration::from_millis(100);

/// What the traffic thread is started with.
pub struct Traffic {
    /// Where the process runs.
    pub place: Place,
    /// The server beside it.
    pub beside: Beside,
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
}

struct Worker<F> {
    traffic: Traffic,
    view: Option<Arc<View>>,
    agent: Agent,
    /// Opening packets of flows that wait for a slot.
    waiting: IndexMap<FlowKey, Vec<u8>>,
    heard: Revision,
    leaving_since: Option<Millis>,
    account: Account,
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
            self.place.ip,
            self.beside.service,
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
            account: Account::default(),
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
                Ok(Update::View(view)) => {
                    beliefs::tell_changes(self.view.as_deref(), &view);
                    self.view = Some(view);
                }
                Ok(Update::Leave) => {
                    self.agent.leave();
                    self.leaving_since = Some(self.traffic.clock.now());
                }
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
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
        let [data, outbound] = sockets::wait(both, udp::IDLE_TURN)?;
        if outbound {
            self.read_server(buf)?;
        }
        if data {
            self.read_balancers(buf)?;
        }
        let now = self.traffic.clock.now();
        for unanswered in self.agent.take_unanswered(now) {
            self.account.unanswered(&unanswered);
        }
        self.release_waiting();
        Ok(())
    }

    /// Lets new flows that wait in, or sends them back.
    fn release_waiting(&mut self) {
        loop {
            let now = self.traffic.clock.now();
            let Some(release) = self.agent.release(self.view.as_deref(), now) else {
                return;
            };
            match release {
                Release::Pass(flow, mark) => {
                    if let Some(mut packet) = self.waiting.swap_remove(&flow) {
                        F::mark(&mut packet, mark.0);
                        self.to_server(&packet);
                        self.account.passed();
                    }
                }
                Release::Refuse(flow, to) => {
                    let packet = self.waiting.swap_remove(&flow).unwrap_or_default();
                    self.account.gave_up(&flow, self.agent.in_progress());
                    let kind = FrameKind::Returned(Refusal::Overloaded);
                    self.tell(to, kind, flow, &packet);
                }
            }
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

    fn handle_frame(&mut self, buf: &mut [u8], from: Ipv4Addr) {
        let Ok(frame) = Frame::read(buf) else {
            return self.account.unreadable();
        };
        let inquiry = match frame.kind {
            FrameKind::Carry(inquiry) => inquiry,
            FrameKind::Ask => return self.answer(from, &frame, &buf[FRAME_LEN_BYTES..]),
            FrameKind::Probe => return self.tell(from, FrameKind::Present, frame.flow, &[]),
            _ => return self.account.unreadable(),
        };
        let packet = &mut buf[FRAME_LEN_BYTES..];
        let Some(passing) = F::read(packet) else {
            return self.account.unreadable();
        };
        self.hear(Revision(frame.revision));
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        let segment = &passing.segment;
        let inbound = self
            .agent
            .inbound(view, now, from, &frame, inquiry, segment);
        let in_progress = self.agent.in_progress();
        match inbound {
            Inbound::Pass { mark, owned } => {
                F::mark(packet, mark.0);
                self.to_server(packet);
                self.account.passed();
                if segment.len > 0
                    && let Some(request) = F::request_id(packet)
                {
                    self.agent.note_request(&segment.key, request);
                }
                if owned {
                    self.tell(from, FrameKind::Owned, segment.key, &[]);
                }
            }
            Inbound::Wait => {
                self.waiting.insert(segment.key, packet.to_vec());
                self.tell(from, FrameKind::Waits, segment.key, &[]);
            }
            Inbound::Waiting => self.tell(from, FrameKind::Waits, segment.key, &[]),
            Inbound::Refuse(refusal) => {
                self.account
                    .refused(view, from, refusal, &frame, in_progress);
                let kind = match inquiry {
                    Inquiry::OwnerOfCopy => FrameKind::Denied,
                    _ => FrameKind::Returned(refusal),
                };
                self.tell(from, kind, segment.key, packet);
            }
        }
    }

    /// Answers for a list of flows.
    fn answer(&mut self, from: Ipv4Addr, frame: &Frame, list: &[u8]) {
        self.hear(Revision(frame.revision));
        let view = self.view.as_deref();
        let now = self.traffic.clock.now();
        let answers: Vec<Listed> = read_list(list)
            .map(|asked| Listed {
                flow: asked.flow,
                knowledge: self.agent.knowledge(view, now, &asked.flow),
            })
            .collect();
        let mut body = Vec::new();
        write_list(&answers, &mut body);
        self.tell(from, FrameKind::Answer, frame.flow, &body);
    }

    fn handle_server(&mut self, packet: &[u8]) {
        let Some(passing) = F::read_from_server(packet) else {
            return self.account.unreadable();
        };
        if passing.bounced {
            return self.handle_bounce(&passing, packet);
        }
        let now = self.traffic.clock.now();
        let view = self.view.as_deref();
        let key = passing.segment.key;
        let request = self.agent.request_of(&key);
        let outbound = self.agent.outbound(view, now, &passing.segment);
        self.to_caller(key, packet);
        let failure = F::failed_status(packet);
        self.account.delivered(&key, request, &outbound, failure);
        if let Some(to) = outbound.tell {
            self.tell(to, FrameKind::Owned, key, &[]);
        }
    }

    fn handle_bounce(&mut self, passing: &Passing, packet: &[u8]) {
        let now = self.traffic.clock.now();
        let view = self.view.as_deref();
        let key = passing.segment.key;
        let request = F::request_id(packet).or_else(|| self.agent.request_of(&key));
        let bounce = self
            .agent
            .bounced(view, now, passing.mark, &passing.segment);
        let copy = matches!(bounce, Bounce::Deny(_));
        self.account.bounced(&key, request, copy);
        match bounce {
            Bounce::Return(to) => {
                self.tell(to, FrameKind::Returned(Refusal::Bounced), key, packet);
            }
            Bounce::Deny(to) => self.tell(to, FrameKind::Denied, key, &[]),
            Bounce::Unknown => {}
        }
    }

    fn to_server(&self, packet: &[u8]) {
        let server = self.traffic.beside.server;
        if let Err(err) = self.traffic.outbound.send_to(packet, server) {
            self.account.send_failed(server, &err);
        }
    }

    fn to_caller(&self, flow: FlowKey, packet: &[u8]) {
        let to = SocketAddrV4::new(*flow.caller.ip(), self.traffic.place.data_port);
        if let Err(err) = self.traffic.data.send_to(packet, to) {
            self.account.send_failed(to, &err);
        }
    }

    fn tell(&mut self, to: Ipv4Addr, kind: FrameKind, flow: FlowKey, packet: &[u8]) {
        let view = self.view.as_deref();
        let frame = Frame {
            kind,
            flow,
            service: self.traffic.beside.service,
            version: view.map_or(Version(0), |v| v.version),
            revision: view.map_or(0, |v| v.newest.0),
            in_progress: self.agent.in_progress(),
            complete: self.agent.is_complete(view, self.traffic.clock.now()),
            open_flows: u16::try_from(self.agent.open_flows()).unwrap_or(u16::MAX),
        };
        frame.write(packet, &mut self.out);
        let to = SocketAddrV4::new(to, self.traffic.place.peer_port);
        if let Err(err) = self.traffic.data.send_to(&self.out, to) {
            self.account.send_failed(to, &err);
        }
    }

    /// Tells control when a balancer knows more than this process.
    fn hear(&mut self, revision: Revision) {
        let known = self.view.as_ref().map(|v| v.cursor);
        if revision <= self.heard || known.is_some_and(|known| revision <= known) {
            return;
        }
        self.heard = revision;
        // Control outlives this thread; if it is gone, the next turn ends.
        let _ = self.traffic.events.send(Event::Heard(revision));
    }
}

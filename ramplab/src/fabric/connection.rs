//! Proxies one caller's connection between a kernel TCP stream and a user-space TCP
//! connection (smoltcp) whose packets go over the simulated link. Half-closes and
//! resets are translated in both directions.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ramp_protocol::packet::Segment;
use smoltcp::iface::Config;
use smoltcp::iface::Interface;
use smoltcp::iface::SocketHandle;
use smoltcp::iface::SocketSet;
use smoltcp::iface::SocketStorage;
use smoltcp::socket::tcp;
use smoltcp::time::Instant;
use smoltcp::wire::HardwareAddress;
use smoltcp::wire::IpCidr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::fabric::AgentPacket;
use crate::fabric::Direction;
use crate::fabric::Fabric;
use crate::fabric::device::PacketQueues;
use crate::history::EventData;

/// Size of the send and of the receive buffer of a user-space connection.
const SOCKET_BUFFER_LEN_BYTES: usize = 64 * 1024;

/// Time within which the handshake must complete; also the longest sleep between
/// two polls.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a closed connection still answers retransmitted segments.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// How a connection ended for the caller.
enum ConnectionEnd {
    /// Both sides closed it.
    Closed,
    /// One side reset it.
    Reset,
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    queues: PacketQueues,
    local_eof: bool,
    remote_eof: bool,
    started: tokio::time::Instant,
    /// Whether the handshake completed.
    established: bool,
    /// Agent that sent the last packet other than a reset.
    owner: Option<SocketAddr>,
    /// Acknowledgement number of the last packet received.
    last_ack: Option<u32>,
}

impl Fabric {
    /// Runs one caller's connection to `service` until it is closed or reset.
    pub(super) async fn run_connection(self: Rc<Self>, stream: TcpStream, service: SocketAddrV4) {
        let Ok(peer) = stream.peer_addr() else {
            return;
        };
        let (tx, rx) = mpsc::unbounded_channel();
        let caller = {
            let mut inboxes = self.inboxes.borrow_mut();
            let mut caller_addresses = self.caller_addresses.borrow_mut();
            let caller = caller_addresses.allocate(peer.ip(), |c| inboxes.contains_key(c));
            inboxes.insert(caller, tx);
            caller
        };
        let seed = self.seed ^ u64::from(caller.port()) << 32 ^ u64::from(u32::from(*caller.ip()));
        match Connection::open(stream, caller, service, self.keep_alive_ms, seed) {
            Ok(mut conn) => conn.run(&self, rx).await,
            Err(err) => log::warn!("cannot open the connection of caller {caller}: {err}"),
        }
        self.inboxes.borrow_mut().remove(&caller);
    }
}

impl Connection {
    fn open(
        stream: TcpStream,
        caller: SocketAddrV4,
        service: SocketAddrV4,
        keep_alive_ms: u64,
        seed: u64,
    ) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        let mut queues = PacketQueues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut queues, Instant::ZERO);
        iface.update_ip_addrs(|addrs| {
            let _ = addrs.push(IpCidr::new((*caller.ip()).into(), 32));
        });
        iface
            .routes_mut()
            .add_default_ipv4_route(*caller.ip())
            .map_err(|_| io::Error::other("route table is full"))?;
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.set_nagle_enabled(false);
        socket.set_ack_delay(None);
        if keep_alive_ms > 0 {
            socket.set_keep_alive(Some(smoltcp::time::Duration::from_millis(keep_alive_ms)));
        }
        socket
            .connect(iface.context(), service, caller)
            .map_err(io::Error::other)?;
        let mut sockets = SocketSet::new(vec![SocketStorage::EMPTY]);
        let handle = sockets.add(socket);
        Ok(Connection {
            peer: stream.peer_addr()?,
            stream,
            iface,
            sockets,
            handle,
            queues,
            local_eof: false,
            remote_eof: false,
            started: tokio::time::Instant::now(),
            established: false,
            owner: None,
            last_ack: None,
        })
    }

    async fn run(&mut self, fabric: &Fabric, mut rx: mpsc::UnboundedReceiver<AgentPacket>) {
        let end = loop {
            self.poll(fabric);
            match self.copy().await {
                Ok(true) => continue,
                Ok(false) => {}
                Err(_) => break ConnectionEnd::Reset,
            }
            if let Some(end) = self.end() {
                break end;
            }
            self.wait(&mut rx).await;
        };
        fabric.record(EventData::FlowCarried {
            flow: self.peer,
            established: self.established,
            owner: self.owner,
        });
        match end {
            ConnectionEnd::Closed => self.linger(fabric, &mut rx).await,
            ConnectionEnd::Reset => {
                self.socket().abort();
                self.poll(fabric);
                // With a linger time of zero the kernel sends a reset on close.
                let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            }
        }
    }

    fn socket(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.started.elapsed().as_micros() as i64)
    }

    /// Lets the user-space TCP stack process received packets, and sends those that
    /// it produced.
    fn poll(&mut self, fabric: &Fabric) {
        let now = self.now();
        self.iface.poll(now, &mut self.queues, &mut self.sockets);
        while let Some(packet) = self.queues.tx.pop_front() {
            fabric.transmit(Direction::ToBalancer, packet);
        }
    }

    /// Copies bytes in both directions as far as possible without waiting; returns
    /// whether anything was copied or closed.
    async fn copy(&mut self) -> io::Result<bool> {
        let to_service = self.copy_to_service()?;
        let to_caller = self.copy_to_caller().await?;
        Ok(to_service || to_caller)
    }

    /// Copies from the caller's stream to the service; passes on the caller's close.
    fn copy_to_service(&mut self) -> io::Result<bool> {
        let socket = self.sockets.get_mut::<tcp::Socket>(self.handle);
        let mut moved = false;
        while !self.local_eof && socket.can_send() {
            let stream = &self.stream;
            let sent = socket.send(|buf| match stream.try_read(buf) {
                Ok(len) => (len, Ok(len)),
                Err(err) => (0, Err(err)),
            });
            match sent.map_err(io::Error::other)? {
                Ok(0) => {
                    self.local_eof = true;
                    socket.close();
                }
                Ok(_) => {}
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => break,
                Err(err) => return Err(err),
            }
            moved = true;
        }
        Ok(moved)
    }

    /// Copies from the service to the caller's stream; passes on the service's close.
    async fn copy_to_caller(&mut self) -> io::Result<bool> {
        let socket = self.sockets.get_mut::<tcp::Socket>(self.handle);
        let mut moved = false;
        while socket.can_recv() {
            let stream = &self.stream;
            let wrote = socket.recv(|buf| match stream.try_write(buf) {
                Ok(len) => (len, Ok(())),
                Err(err) => (0, Err(err)),
            });
            match wrote.map_err(io::Error::other)? {
                Ok(()) => moved = true,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(moved),
                Err(err) => return Err(err),
            }
        }
        let ended = socket.recv(|_| (0, ())) == Err(tcp::RecvError::Finished);
        if ended && !self.remote_eof {
            self.remote_eof = true;
            self.stream.shutdown().await?;
            moved = true;
        }
        Ok(moved)
    }

    /// How the connection has ended; `None` while it is open.
    fn end(&mut self) -> Option<ConnectionEnd> {
        let (local_eof, remote_eof) = (self.local_eof, self.remote_eof);
        let age = self.started.elapsed();
        let state = self.socket().state();
        self.established |= !matches!(state, tcp::State::SynSent | tcp::State::Closed);
        match state {
            tcp::State::Closed if local_eof && remote_eof => Some(ConnectionEnd::Closed),
            tcp::State::Closed => Some(ConnectionEnd::Reset),
            tcp::State::TimeWait => Some(ConnectionEnd::Closed),
            tcp::State::SynSent if age > CONNECT_TIMEOUT => Some(ConnectionEnd::Reset),
            _ => None,
        }
    }

    /// Waits for a packet, a readable or writable stream, or the next TCP timer.
    async fn wait(&mut self, rx: &mut mpsc::UnboundedReceiver<AgentPacket>) {
        let now = self.now();
        let max_sleep = CONNECT_TIMEOUT;
        let sleep_time = match self.iface.poll_delay(now, &self.sockets) {
            Some(delay) => Duration::from_micros(delay.total_micros()).min(max_sleep),
            None => max_sleep,
        };
        let socket = self.sockets.get_mut::<tcp::Socket>(self.handle);
        let wants_read = !self.local_eof && socket.can_send();
        let wants_write = socket.can_recv();
        tokio::select! {
            received = rx.recv() => {
                if let Some(received) = received {
                    self.on_packet(received);
                }
            }
            _ = self.stream.readable(), if wants_read => {}
            _ = self.stream.writable(), if wants_write => {}
            () = tokio::time::sleep(sleep_time) => {}
        }
        while let Ok(received) = rx.try_recv() {
            self.on_packet(received);
        }
    }

    fn on_packet(&mut self, received: AgentPacket) {
        let Ok(segment) = Segment::parse(&received.packet) else {
            return;
        };
        // A reset may come from another agent when the owner can't send it.
        if !segment.rst {
            self.owner = Some(received.from);
        }
        // Workaround: when our FIN was lost, smoltcp stops its retransmission timer at
        // the third duplicate acknowledgement and never sends the FIN again.
        if !(self.is_duplicate_ack(&segment) && self.local_eof) {
            self.queues.rx.push_back(received.packet);
        }
    }

    /// Whether the segment is a duplicate acknowledgement without data or flags.
    fn is_duplicate_ack(&mut self, segment: &Segment) -> bool {
        let repeated = self.last_ack.replace(segment.ack) == Some(segment.ack);
        repeated && segment.len == 0 && !segment.syn && !segment.fin && !segment.rst
    }

    /// Answers segments that the peer retransmits because our last one was lost.
    async fn linger(&mut self, fabric: &Fabric, rx: &mut mpsc::UnboundedReceiver<AgentPacket>) {
        let until = tokio::time::Instant::now() + LINGER_TIME;
        while let Ok(Some(received)) = tokio::time::timeout_at(until, rx.recv()).await {
            self.on_packet(received);
            self.poll(fabric);
        }
    }
}

fn buffer() -> tcp::SocketBuffer<'static> {
    tcp::SocketBuffer::new(vec![0; SOCKET_BUFFER_LEN_BYTES])
}

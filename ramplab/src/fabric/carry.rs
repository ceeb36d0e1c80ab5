//! One caller's connection: bytes between a local stream and a connection in
//! user space, with closes and resets translated both ways.

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

use crate::fabric::Fabric;
use crate::fabric::Returned;
use crate::fabric::Way;
use crate::fabric::device::Queues;
use crate::history::EventData;

/// Send and receive buffer of a connection, in bytes.
const BUFFER_LEN_BYTES: usize = 64 * 1024;

/// Time a connection may take to be opened.
const OPEN_LIMIT: Duration = Duration::from_secs(10);

/// Time for which a closed connection still answers repeated segments.
const LINGER: Duration = Duration::from_secs(2);

/// How a connection ended for the caller.
enum End {
    /// Both sides closed.
    Closed,
    /// One side reset it.
    Reset,
}

struct Conn {
    stream: TcpStream,
    peer: SocketAddr,
    iface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    queues: Queues,
    local_eof: bool,
    remote_eof: bool,
    started: tokio::time::Instant,
    /// Whether the handshake was done.
    established: bool,
    /// Agent that sent the last packet but for resets.
    owner: Option<SocketAddr>,
    /// Acknowledgement number of the last packet.
    last_ack: Option<u32>,
}

impl Fabric {
    /// Carries one connection until both sides have closed.
    pub(super) async fn carry(self: Rc<Self>, stream: TcpStream, service: SocketAddrV4) {
        let Ok(peer) = stream.peer_addr() else {
            return;
        };
        let (tx, rx) = mpsc::unbounded_channel();
        let caller = {
            let mut inboxes = self.inboxes.borrow_mut();
            let mut callers = self.callers.borrow_mut();
            let caller = callers.next(peer.ip(), |c| inboxes.contains_key(c));
            inboxes.insert(caller, tx);
            caller
        };
        let seed = self.seed ^ u64::from(caller.port()) << 32 ^ u64::from(u32::from(*caller.ip()));
        match Conn::open(stream, caller, service, self.keep_alive_ms, seed) {
            Ok(mut conn) => conn.run(&self, rx).await,
            Err(err) => log::warn!("{caller}: {err}"),
        }
        self.inboxes.borrow_mut().remove(&caller);
    }
}

impl Conn {
    fn open(
        stream: TcpStream,
        caller: SocketAddrV4,
        service: SocketAddrV4,
        keep_alive_ms: u64,
        seed: u64,
    ) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        let mut queues = Queues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut iface = Interface::new(config, &mut queues, Instant::ZERO);
        iface.update_ip_addrs(|addrs| {
            let _ = addrs.push(IpCidr::new((*caller.ip()).into(), 32));
        });
        iface
            .routes_mut()
            .add_default_ipv4_route(*caller.ip())
            .map_err(|_| io::Error::other("no room for a route"))?;
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
        Ok(Conn {
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

    async fn run(&mut self, fabric: &Fabric, mut rx: mpsc::UnboundedReceiver<Returned>) {
        let end = loop {
            self.poll(fabric);
            match self.shuttle().await {
                Ok(true) => continue,
                Ok(false) => {}
                Err(_) => break End::Reset,
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
            End::Closed => self.linger(fabric, &mut rx).await,
            End::Reset => {
                self.socket().abort();
                self.poll(fabric);
                // Lingering for no time makes the kernel send a reset.
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

    /// Lets the connection in user space take and send packets.
    fn poll(&mut self, fabric: &Fabric) {
        let now = self.now();
        self.iface.poll(now, &mut self.queues, &mut self.sockets);
        while let Some(packet) = self.queues.tx.pop_front() {
            fabric.pass(Way::Inwards, packet);
        }
    }

    /// Moves what can be moved at once; true when something was.
    async fn shuttle(&mut self) -> io::Result<bool> {
        let inwards = self.shuttle_in()?;
        let outwards = self.shuttle_out().await?;
        Ok(inwards || outwards)
    }

    /// From the caller to the service.
    fn shuttle_in(&mut self) -> io::Result<bool> {
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

    /// From the service to the caller.
    async fn shuttle_out(&mut self) -> io::Result<bool> {
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

    /// Whether and how the connection has ended.
    fn end(&mut self) -> Option<End> {
        let (local_eof, remote_eof) = (self.local_eof, self.remote_eof);
        let age = self.started.elapsed();
        let state = self.socket().state();
        self.established |= !matches!(state, tcp::State::SynSent | tcp::State::Closed);
        match state {
            tcp::State::Closed if local_eof && remote_eof => Some(End::Closed),
            tcp::State::Closed => Some(End::Reset),
            tcp::State::TimeWait => Some(End::Closed),
            tcp::State::SynSent if age > OPEN_LIMIT => Some(End::Reset),
            _ => None,
        }
    }

    /// Waits until there is something to do.
    async fn wait(&mut self, rx: &mut mpsc::UnboundedReceiver<Returned>) {
        let now = self.now();
        let limit = OPEN_LIMIT;
        let nap = match self.iface.poll_delay(now, &self.sockets) {
            Some(delay) => Duration::from_micros(delay.total_micros()).min(limit),
            None => limit,
        };
        let socket = self.sockets.get_mut::<tcp::Socket>(self.handle);
        let wants_read = !self.local_eof && socket.can_send();
        let wants_write = socket.can_recv();
        tokio::select! {
            returned = rx.recv() => {
                if let Some(returned) = returned {
                    self.take(returned);
                }
            }
            _ = self.stream.readable(), if wants_read => {}
            _ = self.stream.writable(), if wants_write => {}
            () = tokio::time::sleep(nap) => {}
        }
        while let Ok(returned) = rx.try_recv() {
            self.take(returned);
        }
    }

    fn take(&mut self, returned: Returned) {
        let Ok(segment) = Segment::parse(&returned.packet) else {
            return;
        };
        // Another agent may reset what its owner can't.
        if !segment.rst {
            self.owner = Some(returned.from);
        }
        // At the third repeated acknowledgement of a FIN that was lost the TCP
        // library stops its timer and never sends the FIN again.
        if !(self.is_bare_repeat(&segment) && self.local_eof) {
            self.queues.rx.push_back(returned.packet);
        }
    }

    /// Whether the segment only repeats the acknowledgement before it.
    fn is_bare_repeat(&mut self, segment: &Segment) -> bool {
        let repeats = self.last_ack.replace(segment.ack) == Some(segment.ack);
        repeats && segment.len == 0 && !segment.syn && !segment.fin && !segment.rst
    }

    /// Answers segments that are repeated because our last one was lost.
    async fn linger(&mut self, fabric: &Fabric, rx: &mut mpsc::UnboundedReceiver<Returned>) {
        let until = tokio::time::Instant::now() + LINGER;
        while let Ok(Some(returned)) = tokio::time::timeout_at(until, rx.recv()).await {
            self.take(returned);
            self.poll(fabric);
        }
    }
}

fn buffer() -> tcp::SocketBuffer<'static> {
    tcp::SocketBuffer::new(vec![0; BUFFER_LEN_BYTES])
}

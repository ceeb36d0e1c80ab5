//! UDP socket for control messages. It adds an authentication tag and a
//! sequence number to outgoing messages, and drops incoming ones that are
//! forged or malformed. Outdated and replayed messages are rejected later, by
//! the membership logic.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use metrics::counter;
use quick_error::quick_error;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::auth::TagError;
use ramp_protocol::codec;
use ramp_protocol::codec::CodecError;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Message;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use tokio::net::UdpSocket;

use crate::udp;

quick_error! {
    /// Why a datagram on the control socket was dropped.
    #[derive(Debug)]
    pub enum ReceiveError {
        /// The authentication tag is not made with the fleet's key.
        Tag(err: TagError) {
            display("{}", err)
            from()
        }
        /// The datagram is not a control message.
        Codec(err: CodecError) {
            display("{}", err)
            from()
        }
        /// The message was sent by this process itself.
        FromSelf {
            display("sent by this process itself")
        }
    }
}

/// An accepted message and the address it came from.
#[derive(Clone, Debug)]
pub struct Received {
    /// Address of the sender's control socket.
    pub from: SocketAddrV4,
    /// The message with its sender, incarnation and sequence number.
    pub envelope: Envelope,
}

/// The control socket of one process.
pub struct ControlSocket {
    socket: UdpSocket,
    key: FleetKey,
    me: InstanceId,
    incarnation: Incarnation,
    sequence: u64,
    buf: Vec<u8>,
}

impl ControlSocket {
    /// Binds the socket of instance `me`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn bind(
        address: SocketAddrV4,
        key: FleetKey,
        me: InstanceId,
        incarnation: Incarnation,
    ) -> io::Result<ControlSocket> {
        let socket = udp::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(ControlSocket {
            socket: UdpSocket::from_std(socket)?,
            key,
            me,
            incarnation,
            sequence: 0,
            buf: vec![0; udp::DATAGRAM_LIMIT_BYTES],
        })
    }

    /// Sends a message. A failed send is ignored: any datagram may get lost.
    pub fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.sequence += 1;
        let envelope = Envelope {
            sender: self.me,
            incarnation: self.incarnation,
            sequence: self.sequence,
            message,
        };
        let mut buf = codec::encode(&envelope);
        self.key.append_tag(&mut buf);
        counter!("control_messages_sent_total").increment(1);
        counter!("control_bytes_sent_total").increment(buf.len() as u64);
        let _ = self.socket.try_send_to(&buf, to.into());
    }

    /// Waits for the next datagram; none when it was rejected.
    ///
    /// # Errors
    ///
    /// The socket failed.
    pub async fn receive(&mut self) -> io::Result<Option<Received>> {
        let (len, from) = match self.socket.recv_from(&mut self.buf).await {
            Ok(got) => got,
            // ICMP error for a datagram sent earlier; it does not concern this
            // read.
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => return Ok(None),
            Err(err) => return Err(err),
        };
        counter!("control_bytes_received_total").increment(len as u64);
        let SocketAddr::V4(from) = from else {
            return Ok(None);
        };
        match self.verify(len) {
            Ok(envelope) => Ok(Some(Received { from, envelope })),
            Err(err) => {
                count_rejection(&err);
                Ok(None)
            }
        }
    }

    fn verify(&mut self, len: usize) -> Result<Envelope, ReceiveError> {
        let body = self.key.verify(&self.buf[..len])?;
        let envelope = codec::decode(body)?;
        if envelope.sender == self.me {
            return Err(ReceiveError::FromSelf);
        }
        Ok(envelope)
    }
}

fn count_rejection(err: &ReceiveError) {
    let reason = match err {
        ReceiveError::Tag(_) => "forged",
        ReceiveError::Codec(_) => "malformed",
        ReceiveError::FromSelf => "own",
    };
    counter!("control_messages_refused_total", "reason" => reason).increment(1);
    log::debug!("control message dropped: {err}");
}

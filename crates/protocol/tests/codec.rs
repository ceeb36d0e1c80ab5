//! Properties of the codecs: decoding an encoded value gives the same value, and
//! arbitrary bytes are refused without a panic.

use quickcheck::quickcheck;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::codec;
use ramp_protocol::header::Header;
use ramp_protocol::message::Delta;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Message;
use ramp_protocol::message::Section;
use ramp_protocol::packet::Segment;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;

fn key() -> FleetKey {
    FleetKey::new([7; 16])
}

quickcheck! {
    fn arbitrary_bytes_never_panic(buf: Vec<u8>) -> bool {
        let _ = codec::decode(&buf);
        let _ = Segment::parse(&buf);
        let _ = key().verify(&buf);
        Header::read(&key(), &buf).is_err()
    }

    fn packet_and_header_are_read_as_written(packet: Vec<u8>, sender: u64, config: u64, hops: u8) -> bool {
        let header = Header {
            sender: InstanceId(sender),
            config: Version(config),
            hops,
            to_owner: hops.is_multiple_of(2),
        };
        let mut buf = Vec::new();
        header.write(&key(), &packet, &mut buf);
        Header::read(&key(), &buf) == Ok((header, &packet[..]))
    }

    fn a_changed_byte_is_detected(packet: Vec<u8>, at: usize) -> bool {
        let mut tagged = packet.clone();
        key().append_tag(&mut tagged);
        let at = at % tagged.len();
        tagged[at] ^= 1;
        key().verify(&tagged).is_err()
    }

    fn delta_is_read_as_written(from: u64, names: Vec<(String, String)>, removed: Vec<String>) -> bool {
        let delta = Delta {
            from: Version(from),
            to: Version(from.wrapping_add(1)),
            hash: from,
            changed: names.into_iter().map(|(name, text)| Section { name, text }).collect(),
            removed,
        };
        let envelope = Envelope {
            sender: InstanceId(1),
            incarnation: Incarnation(2),
            sequence: 3,
            message: Message::Delta(delta),
        };
        codec::decode(&codec::encode(&envelope)).unwrap() == envelope
    }
}

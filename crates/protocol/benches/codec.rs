//! Benchmarks for writing and reading control messages and packet headers. For
//! comparison, each group also measures a plain copy and tag of the same bytes.

use std::hint::black_box;

use criterion::Criterion;
use ramp_protocol::auth::FleetKey;
use ramp_protocol::codec;
use ramp_protocol::header::HEADER_LEN_BYTES;
use ramp_protocol::header::Header;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::message::Warmth;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;

/// Length of a caller's packet of maximum size, in bytes.
const PACKET_LEN_BYTES: usize = 1_400;

/// Number of bytes of header and packet that the header's tag covers.
const COVERED_LEN_BYTES: usize = HEADER_LEN_BYTES - size_of::<u64>() + 40;

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    heartbeat(&mut criterion);
    header(&mut criterion);
    criterion.final_summary();
}

fn heartbeat(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("heartbeat");
    let key = FleetKey::new([7; 16]);
    let envelope = envelope();
    let write = |envelope: &Envelope| {
        let mut buf = codec::encode(envelope);
        key.append_tag(&mut buf);
        buf
    };
    let tagged = write(&envelope);
    let body = key.verify(&tagged).expect("just tagged");
    group.bench_function("encode and seal", |b| {
        b.iter(|| write(black_box(&envelope)));
    });
    group.bench_function("open and decode", |b| {
        b.iter(|| {
            let body = key.verify(black_box(&tagged)).expect("just tagged");
            codec::decode(body).expect("just encoded")
        });
    });
    group.bench_function("plain copy and tag", |b| {
        b.iter(|| {
            let mut buf = black_box(body).to_vec();
            key.append_tag(&mut buf);
            buf
        });
    });
    group.finish();
}

fn header(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("header of a packet of 1,400 bytes");
    let key = FleetKey::new([7; 16]);
    let packet = vec![1; PACKET_LEN_BYTES];
    let header = Header {
        sender: InstanceId(u64::MAX),
        config: Version(u64::MAX),
        hops: 1,
        to_owner: true,
    };
    let mut written = Vec::new();
    header.write(&key, &packet, &mut written);
    // As in the traffic threads, the buffer is allocated once.
    let mut buf = Vec::with_capacity(written.len());
    group.bench_function("write", |b| {
        b.iter(|| {
            buf.clear();
            header.write(&key, black_box(&packet), &mut buf);
        });
    });
    group.bench_function("read", |b| {
        b.iter(|| {
            let (header, packet) = Header::read(&key, black_box(&written)).expect("just written");
            (header, packet.len())
        });
    });
    group.bench_function("plain copy and tag", |b| {
        b.iter(|| {
            buf.clear();
            buf.extend_from_slice(black_box(&written));
            key.tag(&buf[..COVERED_LEN_BYTES])
        });
    });
    group.finish();
}

fn envelope() -> Envelope {
    Envelope {
        sender: InstanceId(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        sequence: u64::MAX,
        message: Message::Heartbeat {
            config: Version(u64::MAX),
            load: Load {
                flows: 4_000,
                in_progress: 5,
                waiting: 2,
                slots: 5,
                warmth: Warmth::Warm,
                leaving: true,
            },
        },
    }
}

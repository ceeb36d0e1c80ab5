//! Frames between balancers and agents.

use std::time::Duration;

use quickcheck::quickcheck;
use ramp_protocol::hop::FRAME_LEN_BYTES;
use ramp_protocol::hop::Frame;
use ramp_protocol::hop::FrameError;
use ramp_protocol::hop::FrameKind;
use ramp_protocol::hop::Inquiry;
use ramp_protocol::hop::Knowledge;
use ramp_protocol::hop::LIST_LIMIT_FLOWS;
use ramp_protocol::hop::Listed;
use ramp_protocol::hop::Refusal;
use ramp_protocol::hop::read_list;
use ramp_protocol::hop::write_list;
use ramp_state::key::FlowKey;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: format!("100.64.0.7:{port}").parse().unwrap(),
        service: "198.18.0.1:443".parse().unwrap(),
    }
}

fn frame(kind: FrameKind) -> Frame {
    Frame {
        kind,
        flow: flow(40001),
        service: ServiceId(7),
        version: Version(8),
        revision: 9,
        in_progress: 10,
        complete: true,
        misses_servers: false,
        running_for: Duration::from_millis(1200),
    }
}

#[test]
fn every_kind_comes_back_as_it_went() {
    let inquiries = [
        Inquiry::None,
        Inquiry::Owner,
        Inquiry::OwnerThoughBusy,
        Inquiry::OwnerOfCopy,
    ];
    let refusals = [
        Refusal::Bounced,
        Refusal::Draining,
        Refusal::Evacuated,
        Refusal::Cold,
        Refusal::OtherService,
        Refusal::Leaving,
        Refusal::Silent,
        Refusal::Busy,
        Refusal::Overloaded,
        Refusal::Lost,
    ];
    let plain = [
        FrameKind::Denied,
        FrameKind::Owned,
        FrameKind::Waits,
        FrameKind::Ask,
        FrameKind::Answer,
        FrameKind::Probe,
        FrameKind::Present,
        FrameKind::Gone,
    ];
    let kinds = inquiries.map(FrameKind::Carry).into_iter();
    let kinds = kinds.chain(refusals.map(FrameKind::Returned)).chain(plain);
    for kind in kinds {
        let mut buf = Vec::new();
        frame(kind).write(b"packet", &mut buf);
        assert_eq!(Frame::read(&buf), Ok(frame(kind)));
        assert_eq!(&buf[FRAME_LEN_BYTES..], b"packet");
    }
}

#[test]
fn foreign_datagrams_are_told_apart() {
    assert_eq!(Frame::read(b""), Err(FrameError::Foreign));
    let mut buf = Vec::new();
    frame(FrameKind::Owned).write(b"", &mut buf);
    assert_eq!(Frame::read(&buf[..buf.len() - 1]), Err(FrameError::Foreign));
    buf[1] = 99;
    assert_eq!(Frame::read(&buf), Err(FrameError::UnknownKind(99)));
}

#[test]
fn a_list_comes_back_as_it_went_and_is_bounded() {
    let knowledge = [Knowledge::Has, Knowledge::HasNot, Knowledge::Unsure];
    let list: Vec<Listed> = (0..100)
        .map(|n| Listed {
            flow: flow(n),
            knowledge: knowledge[usize::from(n) % 3],
        })
        .collect();
    let mut buf = Vec::new();
    write_list(&list, &mut buf);
    let read: Vec<Listed> = read_list(&buf).collect();
    assert_eq!(read, list[..LIST_LIMIT_FLOWS]);
    let cut = &buf[..buf.len() / 100 * 2 + 1];
    assert_eq!(read_list(cut).count(), 2);
}

quickcheck! {
    fn any_bytes_are_read_or_refused(buf: Vec<u8>) -> bool {
        let listed = read_list(&buf).count();
        listed <= LIST_LIMIT_FLOWS && (Frame::read(&buf).is_err() || buf.len() >= FRAME_LEN_BYTES)
    }
}

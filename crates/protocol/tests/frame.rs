//! Encoding of the frames between balancers and agents.

use std::net::Ipv4Addr;
use std::time::Duration;

use quickcheck::quickcheck;
use ramp_protocol::capacity_report::CAPACITY_REPORT_LEN_BYTES;
use ramp_protocol::capacity_report::CapacityReport;
use ramp_protocol::capacity_report::read_capacity_report;
use ramp_protocol::capacity_report::write_capacity_report;
use ramp_protocol::frame::FRAME_LEN_BYTES;
use ramp_protocol::frame::FlowEntry;
use ramp_protocol::frame::Frame;
use ramp_protocol::frame::FrameError;
use ramp_protocol::frame::FrameKind;
use ramp_protocol::frame::Inquiry;
use ramp_protocol::frame::Knowledge;
use ramp_protocol::frame::LIST_LIMIT_AGENTS;
use ramp_protocol::frame::LIST_LIMIT_FLOWS;
use ramp_protocol::frame::ListTag;
use ramp_protocol::frame::Refusal;
use ramp_protocol::frame::read_agents_and_list;
use ramp_protocol::frame::read_list;
use ramp_protocol::frame::write_agents_and_list;
use ramp_protocol::frame::write_list;
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
        knows_all_flows: true,
        misses_servers: false,
        uptime: Duration::from_millis(1200),
    }
}

#[test]
fn every_kind_is_read_as_written() {
    let inquiries = [
        Inquiry::None,
        Inquiry::Owner,
        Inquiry::OwnerEvenIfBusy,
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
    let without_detail = [
        FrameKind::Denied,
        FrameKind::Owned,
        FrameKind::Queued,
        FrameKind::OwnerQuery,
        FrameKind::OwnerReply,
        FrameKind::Probe,
        FrameKind::Heartbeat,
        FrameKind::Shutdown,
        FrameKind::RelayQuery,
        FrameKind::PeerQuery,
        FrameKind::PeerReply,
    ];
    let knowledge = [
        Knowledge::HasNot,
        Knowledge::Has,
        Knowledge::Unsure,
        Knowledge::Unseen,
    ];
    let kinds = inquiries.map(FrameKind::Forward).into_iter();
    let kinds = kinds
        .chain(refusals.map(FrameKind::Returned))
        .chain(knowledge.map(FrameKind::RelayReply))
        .chain(without_detail);
    for kind in kinds {
        let mut buf = Vec::new();
        frame(kind).write(b"packet", &mut buf);
        assert_eq!(Frame::read(&buf), Ok(frame(kind)));
        assert_eq!(&buf[FRAME_LEN_BYTES..], b"packet");
    }
}

#[test]
fn invalid_datagrams_are_refused() {
    assert_eq!(Frame::read(b""), Err(FrameError::NotAFrame));
    let mut buf = Vec::new();
    frame(FrameKind::Owned).write(b"", &mut buf);
    assert_eq!(
        Frame::read(&buf[..buf.len() - 1]),
        Err(FrameError::NotAFrame)
    );
    buf[1] = 99;
    assert_eq!(Frame::read(&buf), Err(FrameError::UnknownKind(99)));
}

#[test]
fn a_list_is_read_as_written_and_bounded() {
    let knowledge = [Knowledge::Has, Knowledge::HasNot, Knowledge::Unsure];
    let list: Vec<FlowEntry> = (0..100)
        .map(|n| FlowEntry {
            flow: flow(n),
            knowledge: knowledge[usize::from(n) % 3],
        })
        .collect();
    let mut buf = Vec::new();
    write_list(&list, &mut buf);
    let read: Vec<FlowEntry> = read_list(&buf).collect();
    assert_eq!(read, list[..LIST_LIMIT_FLOWS]);
    let truncated = &buf[..buf.len() / 100 * 2 + 1];
    assert_eq!(read_list(truncated).count(), 2);
}

// Guards against codes on the wire that differ from the specification: processes
// of two builds run together during a rolling update.
#[test]
fn relay_frames_have_the_specified_codes() {
    let codes = [
        (FrameKind::RelayQuery, [11, 0]),
        (FrameKind::RelayReply(Knowledge::HasNot), [12, 0]),
        (FrameKind::RelayReply(Knowledge::Has), [12, 1]),
        (FrameKind::RelayReply(Knowledge::Unsure), [12, 2]),
        (FrameKind::RelayReply(Knowledge::Unseen), [12, 3]),
        (FrameKind::PeerQuery, [13, 0]),
        (FrameKind::PeerReply, [14, 0]),
    ];
    for (kind, code) in codes {
        let mut buf = Vec::new();
        frame(kind).write(b"", &mut buf);
        assert_eq!(buf[1..3], code, "{kind:?}");
    }
}

// Guards against answers that are credited to the wrong agents or flows, and against
// reads beyond a truncated datagram.
#[test]
fn agents_and_their_list_are_read_as_written_and_bounded() {
    let agents: Vec<Ipv4Addr> = (0..300u32).map(|n| Ipv4Addr::from(n << 8 | 7)).collect();
    let list = [FlowEntry {
        flow: flow(5),
        knowledge: Knowledge::HasNot,
    }];
    let mut buf = Vec::new();
    write_agents_and_list(&agents, &list, &mut buf);
    assert_eq!(buf[..6], [1, 0, 0, 0, 0, 7]);
    let (read, entries) = read_agents_and_list(&buf).unwrap();
    assert_eq!(read, agents[..LIST_LIMIT_AGENTS]);
    assert_eq!(entries.collect::<Vec<_>>(), list);
    assert!(read_agents_and_list(&buf[..2 + 4 * LIST_LIMIT_AGENTS - 1]).is_none());
    buf[..2].copy_from_slice(&257u16.to_be_bytes());
    assert!(read_agents_and_list(&buf).is_none());
}

// Guards against a reply that is matched to another query than its own.
#[test]
fn a_list_tag_is_read_as_written() {
    let tag = ListTag {
        number: 0xfedc_ba98,
        balancer: Ipv4Addr::new(10, 1, 2, 3),
        shortest_uptime: Duration::from_millis(1900),
    };
    assert_eq!(ListTag::of(&tag.to_flow()), tag);
}

quickcheck! {
    fn any_bytes_are_read_as_agents_or_refused(buf: Vec<u8>) -> bool {
        read_agents_and_list(&buf).is_none_or(|(agents, list)| {
            agents.len() <= LIST_LIMIT_AGENTS && list.count() <= LIST_LIMIT_FLOWS
        })
    }
}

// Guards against a layout that processes of another build read differently.
#[test]
fn a_capacity_report_has_the_layout_of_the_specification() {
    let report = CapacityReport {
        limit: 3,
        request_time: Duration::from_millis(258),
        age: Duration::from_millis(400),
    };
    let bytes = write_capacity_report(Some(report));
    assert_eq!(bytes, [0, 3, 1, 2, 0, 4]);
    assert_eq!(read_capacity_report(&bytes), Some(report));
    let unknown = write_capacity_report(None);
    assert_eq!(read_capacity_report(&unknown), None);
    // An older build sends nothing after the header.
    assert_eq!(read_capacity_report(&[]), None);
}

quickcheck! {
    fn any_bytes_are_a_capacity_report_or_none(buf: Vec<u8>) -> bool {
        read_capacity_report(&buf).is_none_or(|report| {
            buf.len() >= CAPACITY_REPORT_LEN_BYTES && report.limit > 0
        })
    }

    fn any_bytes_are_read_or_refused(buf: Vec<u8>) -> bool {
        let entries = read_list(&buf).count();
        entries <= LIST_LIMIT_FLOWS && (Frame::read(&buf).is_err() || buf.len() >= FRAME_LEN_BYTES)
    }
}

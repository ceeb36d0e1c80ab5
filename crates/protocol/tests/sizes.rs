//! Sizes of control datagrams, headers counted, against bounds that follow
//! from what a node may use for control at the size to come.

use ramp_protocol::auth::TAG_LEN_BYTES;
use ramp_protocol::codec;
use ramp_protocol::message::ClaimKey;
use ramp_protocol::message::Delta;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::KeyStatus;
use ramp_protocol::message::Load;
use ramp_protocol::message::Message;
use ramp_protocol::message::Section;
use ramp_protocol::message::Warmth;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::key::Version;

/// Control traffic of a node, sent and received.
const NODE_BYTES_PER_S: usize = 13_000;

/// Groups, each of which sends a balancer a digest every period.
const GROUPS: usize = 340;
const DIGEST_PERIOD_S: usize = 4;

/// Agents of a group; together they serve all balancers.
const MEMBERS: usize = 12;
const BALANCERS: usize = 660;

/// Heartbeats to each other member, and one from each, every second.
const HEARTBEATS_PER_S: usize = 2 * (MEMBERS - 1);

/// IP and UDP headers.
const HEADERS_BYTES: usize = 20 + 8;

/// Longest datagram that carries a delta. A node gets one a second at most.
const DELTA_BYTES: usize = 1_400 + HEADERS_BYTES;

/// A balancer's digests leave room for a delta.
const DIGEST_BYTES: usize = (NODE_BYTES_PER_S - DELTA_BYTES) * DIGEST_PERIOD_S / GROUPS;

/// Digests of all groups when no delta comes with them.
const CROWDED_DIGEST_BYTES: usize = NODE_BYTES_PER_S * DIGEST_PERIOD_S / GROUPS;

/// Heartbeats and digests of an agent take half of its traffic.
const REGULAR_BYTES_PER_S: usize = NODE_BYTES_PER_S / 2;
const AGENT_DIGEST_BYTES_PER_S: usize = BALANCERS * DIGEST_BYTES / (MEMBERS * DIGEST_PERIOD_S);
const HEARTBEAT_BYTES: usize = (REGULAR_BYTES_PER_S - AGENT_DIGEST_BYTES_PER_S) / HEARTBEATS_PER_S;

/// Datagrams of a key: to each of three replicas a claim, its answer, and the
/// outcome twice.
const KEY_DATAGRAMS: usize = 3 * 4;

/// What is left bears a key a second at each agent, which sends as much for
/// its own keys as it receives, and the same again as a replica of others.
const CLAIM_BYTES: usize =
    (NODE_BYTES_PER_S - REGULAR_BYTES_PER_S - DELTA_BYTES) / (2 * KEY_DATAGRAMS);

/// Servers that one delta can change.
const CHANGED_SERVERS: usize = 8;

#[test]
fn heartbeat_leaves_room_for_the_rest_of_an_agents_traffic() {
    let load = Load {
        flows: u32::MAX,
        in_progress: u32::MAX,
        waiting: u32::MAX,
        slots: u32::MAX,
        warmth: Warmth::Warm,
        leaving: true,
    };
    let config = Version(u64::MAX);
    assert_fits(Message::Heartbeat { config, load }, HEARTBEAT_BYTES);
}

#[test]
fn digests_of_all_groups_fit_beside_a_delta() {
    assert_fits(digest(0), DIGEST_BYTES);
}

#[test]
fn digests_of_all_groups_fit_when_each_has_lost_two_members() {
    assert_fits(digest(2), CROWDED_DIGEST_BYTES);
}

#[test]
fn claims_fit_into_what_heartbeats_leave() {
    let key = ClaimKey(u128::MAX);
    let attempt = u64::MAX;
    let status = KeyStatus::Unknown;
    assert_fits(Message::Claim { key, attempt }, CLAIM_BYTES);
    let answer = Message::ClaimReply {
        key,
        attempt,
        status,
    };
    assert_fits(answer, CLAIM_BYTES);
    let settle = Message::ClaimOutcome {
        key,
        attempt,
        status,
    };
    assert_fits(settle, CLAIM_BYTES);
}

#[test]
fn a_change_of_some_servers_fits_into_one_delta() {
    let section = |n| Section {
        name: format!("server s339-{n}"),
        text: format!(
            "service = s339\ndata_centre = dc7\nagent = 127.64.15.{n}:7000\n\
             control = 127.64.15.{n}:7001\nstate = leaving\n"
        ),
    };
    let delta = Delta {
        from: Version(u64::MAX - 1),
        to: Version(u64::MAX),
        hash: u64::MAX,
        changed: (100..100 + CHANGED_SERVERS).map(section).collect(),
        removed: Vec::new(),
    };
    assert_fits(Message::Delta(delta), DELTA_BYTES);
}

fn digest(dead: usize) -> Message {
    Message::Digest {
        service: ServiceId(u64::MAX),
        config: Version(u64::MAX),
        dead: vec![InstanceId(u64::MAX); dead],
    }
}

#[track_caller]
fn assert_fits(message: Message, limit: usize) {
    let envelope = Envelope {
        sender: InstanceId(u64::MAX),
        incarnation: Incarnation(u64::MAX),
        sequence: u64::MAX,
        message,
    };
    let bytes = codec::encode(&envelope).len() + TAG_LEN_BYTES + HEADERS_BYTES;
    println!("{bytes} bytes of {limit}");
    assert!(bytes <= limit, "{bytes} bytes above {limit}");
}

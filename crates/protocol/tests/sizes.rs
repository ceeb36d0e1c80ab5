//! Maximum sizes of control datagrams, including IP and UDP headers. The bounds
//! follow from the control traffic that a node may cause in a fleet of the size
//! that is planned for.

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

/// Control traffic that a node may send and receive in total.
const NODE_LIMIT_BYTES_PER_S: usize = 13_000;

/// Number of groups. Each sends every balancer one digest per period.
const GROUP_COUNT: usize = 340;
const DIGEST_PERIOD_S: usize = 4;

/// Number of agents in a group. They share the digests to all balancers.
const GROUP_SIZE_AGENTS: usize = 12;
const BALANCER_COUNT: usize = 660;

/// Every second, an agent sends each other member of its group a heartbeat and
/// gets one from each.
const HEARTBEATS_PER_S: usize = 2 * (GROUP_SIZE_AGENTS - 1);

/// Length of the IP and UDP headers.
const HEADERS_BYTES: usize = 20 + 8;

/// Maximum size of a datagram with a delta. A node gets at most one a second.
const DELTA_LIMIT_BYTES: usize = 1_400 + HEADERS_BYTES;

/// Size of a digest at which the digests to a balancer leave room for a delta.
const DIGEST_LIMIT_BYTES: usize =
    (NODE_LIMIT_BYTES_PER_S - DELTA_LIMIT_BYTES) * DIGEST_PERIOD_S / GROUP_COUNT;

/// Size of a digest at which the digests to a balancer take up all of its control
/// traffic.
const DIGEST_ALONE_LIMIT_BYTES: usize = NODE_LIMIT_BYTES_PER_S * DIGEST_PERIOD_S / GROUP_COUNT;

/// Heartbeats and digests may take half of an agent's control traffic.
const PERIODIC_BYTES_PER_S: usize = NODE_LIMIT_BYTES_PER_S / 2;
const AGENT_DIGEST_BYTES_PER_S: usize =
    BALANCER_COUNT * DIGEST_LIMIT_BYTES / (GROUP_SIZE_AGENTS * DIGEST_PERIOD_S);
const HEARTBEAT_LIMIT_BYTES: usize =
    (PERIODIC_BYTES_PER_S - AGENT_DIGEST_BYTES_PER_S) / HEARTBEATS_PER_S;

/// Datagrams for one idempotency key: for each of three replicas a claim, its
/// reply, and the outcome twice.
const DATAGRAMS_PER_KEY: usize = 3 * 4;

/// The remaining traffic has to suffice for one key a second at each agent. An
/// agent exchanges one set of datagrams for its own keys and, on average, another
/// one as a replica of other agents' keys.
const CLAIM_LIMIT_BYTES: usize =
    (NODE_LIMIT_BYTES_PER_S - PERIODIC_BYTES_PER_S - DELTA_LIMIT_BYTES) / (2 * DATAGRAMS_PER_KEY);

/// Number of servers whose change must fit into one delta.
const CHANGED_SERVER_COUNT: usize = 8;

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
    assert_fits(Message::Heartbeat { config, load }, HEARTBEAT_LIMIT_BYTES);
}

#[test]
fn digests_of_all_groups_fit_beside_a_delta() {
    assert_fits(digest(0), DIGEST_LIMIT_BYTES);
}

#[test]
fn digests_of_all_groups_fit_when_each_has_lost_two_members() {
    assert_fits(digest(2), DIGEST_ALONE_LIMIT_BYTES);
}

#[test]
fn claims_fit_into_what_heartbeats_leave() {
    let key = ClaimKey(u128::MAX);
    let attempt = u64::MAX;
    let status = KeyStatus::Unknown;
    assert_fits(Message::Claim { key, attempt }, CLAIM_LIMIT_BYTES);
    let reply = Message::ClaimReply {
        key,
        attempt,
        status,
    };
    assert_fits(reply, CLAIM_LIMIT_BYTES);
    let outcome = Message::ClaimOutcome {
        key,
        attempt,
        status,
    };
    assert_fits(outcome, CLAIM_LIMIT_BYTES);
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
        changed: (100..100 + CHANGED_SERVER_COUNT).map(section).collect(),
        removed: Vec::new(),
    };
    assert_fits(Message::Delta(delta), DELTA_LIMIT_BYTES);
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

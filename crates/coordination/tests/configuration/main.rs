//! Tests of the configuration of many processes with lost, delayed, duplicated
//! and reordered messages, stale and unresponsive replicas of the platform,
//! restarts, freezes and partitions.

mod network;

use std::net::SocketAddrV4;
use std::time::Duration;

use network::BAD_LINK;
use network::Network;
use network::Replica;
use network::address;
use quickcheck::quickcheck;
use ramp_coordination::configuration::Configuration;
use ramp_coordination::configuration::HoldOutcome;
use ramp_coordination::configuration::Output;
use ramp_coordination::configuration::POLLERS_PER_GROUP;
use ramp_coordination::configuration::Peer;
use ramp_coordination::configuration::hold::HOLD_TIMEOUT;
use ramp_coordination::configuration::hold::STALE_MESSAGE_WINDOW;
use ramp_coordination::configuration::platform_calls::CallId;
use ramp_coordination::configuration::platform_calls::FOLLOWER_POLL_PERIOD;
use ramp_coordination::configuration::platform_calls::LONG_POLL_WAIT;
use ramp_coordination::configuration::platform_calls::MAX_CONFIRM_JITTER;
use ramp_coordination::configuration::platform_calls::PollMode;
use ramp_coordination::configuration::platform_calls::call_jitter;
use ramp_coordination::configuration::startup::PEER_ANSWER_TIMEOUT;
use ramp_coordination::configuration::startup::STARTUP_TIMEOUT;
use ramp_coordination::configuration::store::HISTORY_VERSIONS;
use ramp_coordination::delta::Versioned;
use ramp_coordination::delta::diff;
use ramp_coordination::platform_reply::PlatformCallError;
use ramp_coordination::platform_reply::PlatformReply;
use ramp_coordination::platform_reply::PublishedText;
use ramp_coordination::random::Random;
use ramp_protocol::message::Delta;
use ramp_protocol::message::Message;
use ramp_protocol::message::Section;
use ramp_state::document::Document;
use ramp_state::fleet::Fleet;
use ramp_state::instances::Role;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::time::Millis;

/// Longest time until a published version must be in force everywhere.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Longest time that a startup takes when there is no fault.
const STARTUP_LIMIT: Duration = Duration::from_secs(6);

/// Size of the largest planned fleet, and the calls per second that the platform
/// can handle from all of its processes.
const PROCESSES: usize = 4_860;
const SERVERS: usize = 4_200;
const GROUPS: usize = 340;
const PLATFORM_CALLS_PER_S_LIMIT: usize = 2_000;

/// Seed with which a process first calls the platform within a second.
const EARLY_CALL_SEED: u64 = 6;

fn text(slots: u32) -> String {
    format!(
        "[defaults]\nslots = {slots}\n[data-centre boston]\nregion = east\n\
         [service ledger]\naddress = 10.0.0.1:443\n"
    )
}

/// Text of a document whose delta does not fit into a datagram when `slots`
/// changes.
fn long_text(slots: u32) -> String {
    let exceptions: String = (0..40)
        .map(|i| format!("[service s{i}]\naddress = 10.0.1.{i}:{slots}\n"))
        .collect();
    text(slots) + &exceptions
}

/// Seeds of a test: 0 to 99, or as many as BRAMLEYRAMP_SEEDS is set to.
fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("BRAMLEYRAMP_SEEDS").ok();
    0..seeds.and_then(|n| n.parse().ok()).unwrap_or(100)
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Two groups of five agents and two balancers, with version 1 in force.
fn started_network(seed: u64) -> Network {
    let mut network = Network::new(seed, 2, 5, 2);
    network.publish(text(1));
    network.start_all();
    network.run(STARTUP_LIMIT);
    assert_eq!(network.lowest_version(), Version(1));
    network
}

#[test]
fn every_version_is_in_force_everywhere_within_4_s() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        let mut network = started_network(seed);
        network.link = BAD_LINK;
        for slots in 2..12 {
            network.run(Duration::from_millis(random.below(3_000)));
            let version = network.publish(text(slots));
            network.run(PROPAGATION_LIMIT);
            assert!(
                network.lowest_version() >= version,
                "seed {seed}, version {version}"
            );
        }
    }
}

#[test]
fn faults_two_at_a_time_never_revert_a_version() {
    for seed in seeds() {
        let mut random = Random::new(seed);
        let mut network = started_network(seed);
        network.link = BAD_LINK;
        for slots in 2..20 {
            for _ in 0..2 {
                inject_fault(&mut network, &mut random);
            }
            network.publish(text(slots));
            network.run(Duration::from_millis(random.below(3_000)));
        }
        repair_all(&mut network);
        network.run(STARTUP_LIMIT + PROPAGATION_LIMIT);
        let last = network.published.last().unwrap().version;
        assert_eq!(network.lowest_version(), last, "seed {seed}");
    }
}

fn inject_fault(network: &mut Network, random: &mut Random) {
    let node = random.below(network.nodes.len() as u64) as usize;
    let version = Version(1 + random.below(network.published.len() as u64));
    match random.below(9) {
        0 => network.start(node),
        1 => network.kill(node),
        2 => network.freeze(node),
        3 if network.nodes[node].frozen => network.resume(node),
        4 => network.isolate([node, node / 2]),
        5 => network.heal(),
        6 => network.set_replicas(&[Replica::Stale(version), Replica::Up]),
        7 => network.set_replicas(&[Replica::Silent, Replica::Down]),
        _ => network.nodes[node].cut_off_from_platform ^= true,
    }
}

fn repair_all(network: &mut Network) {
    network.heal();
    network.set_replicas(&[Replica::Up]);
    for node in 0..network.nodes.len() {
        network.nodes[node].cut_off_from_platform = false;
        if network.nodes[node].frozen {
            network.resume(node);
        }
        if network.nodes[node].config.is_none() {
            network.start(node);
        }
    }
}

#[test]
fn stale_replica_is_ignored() {
    let mut network = started_network(1);
    let version = network.publish(text(2));
    network.run(PROPAGATION_LIMIT);
    network.set_replicas(&[Replica::Stale(Version(1))]);
    network.run(seconds(60));
    assert_eq!(network.lowest_version(), version);
    let stale: u64 = counts(&network, |config| config.counts().stale_answers);
    assert!(stale > 0);
}

#[test]
fn start_takes_the_highest_of_a_stale_platform_and_peers() {
    let mut network = started_network(2);
    let version = network.publish(text(2));
    network.run(PROPAGATION_LIMIT);
    network.set_replicas(&[Replica::Stale(Version(1))]);
    for node in [0, 6, 11] {
        network.start(node);
    }
    network.run(STARTUP_TIMEOUT + seconds(1));
    for node in [0, 6, 11] {
        assert_eq!(network.nodes[node].versions, [version]);
    }
}

#[test]
fn start_waits_for_a_version_that_a_peer_announced() {
    let peer = address(7);
    let mut config = Configuration::new(Millis(0), 1, InstanceId(1), Role::Agent, vec![peer]);
    let document = |version, slots| PublishedText {
        version,
        text: text(slots),
    };
    let now = Millis(10);
    let ahead = Version(3);
    config.on_message(now, peer, &Message::Announce { config: ahead });
    let behind = PlatformReply::Newer(document(Version(1), 1));
    config.on_platform_reply(now, CallId(1), Ok(behind));
    assert!(!config.is_serving());
    config.on_document(now, peer, Ok(document(ahead, 3)));
    assert_eq!(config.version(), ahead);
}

#[test]
fn start_takes_the_highest_of_peers_that_are_behind_and_the_platform() {
    let mut network = started_network(3);
    for node in 0..network.nodes.len() {
        network.nodes[node].cut_off_from_platform = true;
    }
    let version = network.publish(text(2));
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.lowest_version(), Version(1));
    network.start(0);
    network.nodes[0].cut_off_from_platform = false;
    network.run(STARTUP_LIMIT);
    assert_eq!(network.version(0), version);
}

#[test]
fn start_during_an_outage_takes_the_version_of_peers() {
    for replica in [Replica::Down, Replica::Silent] {
        let mut network = started_network(4);
        network.set_replicas(&[replica]);
        network.run(seconds(30));
        for node in [0, 1, 11] {
            network.start(node);
        }
        network.run(STARTUP_TIMEOUT + seconds(1));
        assert_eq!(network.lowest_version(), Version(1), "{replica:?}");
    }
}

#[test]
fn start_without_platform_and_peers_waits_and_does_not_serve() {
    let mut network = Network::new(5, 1, 1, 1);
    network.publish(text(1));
    network.set_replicas(&[Replica::Down]);
    network.start_all();
    network.run(seconds(120));
    assert_eq!(network.lowest_version(), Version(0));
    assert!(!network.nodes[0].config.as_ref().unwrap().is_serving());
    network.set_replicas(&[Replica::Up]);
    network.run(seconds(8));
    assert_eq!(network.lowest_version(), Version(1));
}

#[test]
fn publication_after_an_outage_is_in_force_within_4_s() {
    for replica in [Replica::Down, Replica::Stale(Version(1))] {
        let mut network = started_network(6);
        network.set_replicas(&[replica]);
        network.run(seconds(300));
        assert_eq!(network.lowest_version(), Version(1));
        network.set_replicas(&[Replica::Up]);
        let version = network.publish(text(2));
        network.run(PROPAGATION_LIMIT);
        assert_eq!(network.lowest_version(), version, "{replica:?}");
    }
}

#[test]
fn second_replica_is_read_when_the_first_is_gone() {
    for replica in [Replica::Down, Replica::Stale(Version(1))] {
        let mut network = started_network(7);
        network.set_replicas(&[replica, Replica::Up]);
        network.run(seconds(60));
        let version = network.publish(text(2));
        network.run(PROPAGATION_LIMIT);
        assert_eq!(network.lowest_version(), version, "{replica:?}");
    }
}

#[test]
fn process_without_peers_goes_on_to_the_next_replica() {
    for replica in [Replica::Down, Replica::Silent] {
        let mut network = Network::new(7, 1, 1, 0);
        network.publish(text(1));
        network.set_replicas(&[replica, Replica::Up]);
        network.start_all();
        network.run(STARTUP_LIMIT + STARTUP_LIMIT);
        assert_eq!(network.lowest_version(), Version(1), "{replica:?}");
    }
}

#[test]
fn partition_leaves_each_part_its_version_and_heals() {
    let mut network = started_network(8);
    let isolated = [0, 1, 2, 10];
    network.isolate(isolated);
    for node in isolated {
        network.nodes[node].cut_off_from_platform = true;
    }
    let version = network.publish(text(2));
    network.run(seconds(60));
    for node in 0..network.nodes.len() {
        let expected = if isolated.contains(&node) {
            Version(1)
        } else {
            version
        };
        assert_eq!(network.version(node), expected);
    }
    network.heal();
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.lowest_version(), version);
}

#[test]
fn process_without_peer_messages_long_polls_the_platform() {
    let mut network = started_network(9);
    network.isolate([11]);
    network.run(seconds(10));
    let version = network.publish(text(2));
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.version(11), version);
}

#[test]
fn group_whose_pollers_are_cut_off_learns_from_packets() {
    let mut informed_by_packets = 0;
    for seed in 10..30 {
        let mut network = started_network(seed);
        // Ends long polls that began before all processes knew their group.
        network.run(LONG_POLL_WAIT);
        for node in 0..5 {
            let config = network.nodes[node].config.as_ref().unwrap();
            network.nodes[node].cut_off_from_platform = config.poll_mode() == PollMode::Poller;
        }
        network.run(seconds(1));
        let version = network.publish(text(2));
        network.run(seconds(1));
        let behind = (0..5).filter(|node| network.version(*node) < version);
        let behind: Vec<usize> = behind.collect();
        let now = network.now;
        for node in &behind {
            network.drive(*node, |config| config.on_version_hint(now, version));
        }
        network.run(seconds(3));
        assert_eq!(network.lowest_version(), version, "seed {seed}");
        informed_by_packets += behind.len();
    }
    assert!(informed_by_packets >= 20, "{informed_by_packets}");
}

#[test]
fn group_whose_long_polls_hang_learns_from_balancers() {
    let mut network = started_network(10);
    network.run(LONG_POLL_WAIT);
    for node in 0..5 {
        network.nodes[node].calls_hang = true;
    }
    let version = network.publish(text(2));
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.lowest_version(), version);
}

#[test]
fn bad_document_is_refused_alike_and_the_last_good_one_stays() {
    let mut network = started_network(11);
    let bad = network.publish(text(0));
    network.run(seconds(60));
    assert_eq!(network.lowest_version(), Version(1));
    let refused: Vec<_> = network.nodes.iter().flat_map(|n| &n.refused).collect();
    assert!(refused.len() >= 2 * POLLERS_PER_GROUP);
    assert!(refused.iter().all(|other| other == &refused[0]));
    assert_eq!(refused[0].0, bad);
    for node in &network.nodes {
        assert!(
            node.refused.len() <= 1,
            "{} refused the document again",
            node.name
        );
    }
    let good = network.publish(text(3));
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.lowest_version(), good);
}

#[test]
fn refused_version_is_not_requested_again() {
    let mut network = started_network(11);
    network.run(LONG_POLL_WAIT);
    let bad = network.publish(text(0));
    let before = network.calls();
    let now = network.now;
    for node in 0..network.nodes.len() {
        network.drive(node, |config| config.on_version_hint(now, bad));
    }
    network.run(seconds(60));
    // Per process: one call that reads the faulty document, the followers' polls
    // in a minute, and the pollers' long polls.
    let most = network.nodes.len() * (1 + 4 + 3);
    let calls = network.calls() - before;
    assert!(calls <= most, "{calls} > {most}");
}

#[test]
fn start_with_a_bad_document_takes_the_good_one_of_peers() {
    let mut network = started_network(12);
    network.publish(text(0));
    network.run(seconds(5));
    network.start(0);
    network.run(STARTUP_LIMIT);
    assert_eq!(network.version(0), Version(1));
}

#[test]
fn two_publishers_at_once_leave_the_later_version_everywhere() {
    let mut network = started_network(13);
    network.publish(text(7));
    let last = network.publish(text(3));
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.lowest_version(), last);
    let slots = |node: usize| {
        network.nodes[node]
            .installed
            .as_ref()
            .unwrap()
            .defaults
            .slots
    };
    assert!((0..network.nodes.len()).all(|node| slots(node) == 3));
}

#[test]
fn changes_travel_as_deltas() {
    let mut network = started_network(14);
    let calls = network.calls();
    network.publish(text(2));
    network.run(PROPAGATION_LIMIT);
    let deltas = counts(&network, |config| config.counts().deltas_requested);
    let documents = counts(&network, |config| config.counts().documents_fetched);
    let before = counts(&started_network(14), |config| {
        config.counts().documents_fetched
    });
    assert!(deltas >= 8, "{deltas}");
    assert_eq!(documents, before);
    // A poller reads the document once and starts a new long poll.
    let pollers = 2 * POLLERS_PER_GROUP;
    assert!(
        network.calls() - calls <= 2 * pollers,
        "{}",
        network.calls() - calls
    );
}

#[test]
fn long_change_is_fetched_whole_from_a_peer() {
    let mut network = started_network(15);
    for slots in 2..4 {
        let version = network.publish(long_text(slots));
        network.run(PROPAGATION_LIMIT);
        assert_eq!(network.lowest_version(), version);
    }
    assert!(counts(&network, |config| config.counts().documents_fetched) >= 16);
}

#[test]
fn version_too_old_for_a_delta_is_fetched_whole() {
    let mut network = started_network(16);
    let fetched = |network: &Network| {
        let config = network.nodes[0].config.as_ref().unwrap();
        config.counts().documents_fetched
    };
    let before = fetched(&network);
    network.freeze(0);
    for slots in 2..HISTORY_VERSIONS as u32 + 4 {
        network.publish(text(slots));
        network.run(seconds(2));
    }
    network.nodes[0].cut_off_from_platform = true;
    network.resume(0);
    network.run(PROPAGATION_LIMIT);
    assert_eq!(
        network.version(0),
        network.published.last().unwrap().version
    );
    assert_eq!(fetched(&network), before + 1);
}

#[test]
fn platform_is_read_when_peers_can_not_give_the_document() {
    let mut network = started_network(17);
    for node in &mut network.nodes {
        node.can_fetch = false;
    }
    let fetched = |config: &Configuration| config.counts().documents_fetched;
    let before = counts(&network, fetched);
    let version = network.publish(long_text(2));
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.lowest_version(), version);
    assert_eq!(counts(&network, fetched), before);
}

#[test]
fn damaged_delta_is_followed_by_the_whole_document() {
    let mut network = started_network(17);
    network.run(LONG_POLL_WAIT);
    let fetched = |config: &Configuration| config.counts().documents_fetched;
    let before = counts(&network, fetched);
    network.damages_deltas = true;
    let version = network.publish(text(2));
    network.run(PROPAGATION_LIMIT);
    assert_eq!(network.lowest_version(), version);
    assert!(counts(&network, fetched) >= before + 6);
}

#[test]
fn platform_is_read_when_peers_do_not_answer() {
    let mut network = started_network(18);
    network.run(LONG_POLL_WAIT);
    for node in 1..network.nodes.len() {
        network.nodes[node].cut_off_from_platform = true;
    }
    let version = network.publish(text(2));
    network.kill(11);
    let now = network.now;
    let gone = Message::Announce { config: version };
    network.drive(0, |config| config.on_message(now, address(11), &gone));
    network.run(seconds(2));
    assert_eq!(network.version(0), version);
}

#[test]
fn delta_to_an_older_version_is_ignored() {
    let mut config = serving();
    let version = |version, slots| (Version(version), Document::parse(&text(slots)));
    let ((new, from), (old, to)) = (version(2, 1), version(1, 9));
    let from = Versioned {
        version: new,
        document: &from,
    };
    let to = Versioned {
        version: old,
        document: &to,
    };
    let back = Message::Delta(diff(from, to));
    config.on_message(Millis(20_000), address(3), &back);
    assert_eq!(config.version(), new);
    assert_eq!(config.published().unwrap().version, new);
}

#[test]
fn hold_goes_on_while_a_peer_is_known_to_have_more() {
    let mut network = started_network(18);
    network.freeze(3);
    network.run(seconds(10));
    network.isolate([3]);
    network.nodes[3].cut_off_from_platform = true;
    network.publish(text(2));
    network.publish(text(3));
    network.resume(3);
    network.run(Duration::from_millis(100));
    let now = network.now;
    for config in [Version(3), Version(1)] {
        let announce = Message::Announce { config };
        network.drive(3, |config| config.on_message(now, address(4), &announce));
    }
    assert!(network.nodes[3].holds_traffic);
    network.run(HOLD_TIMEOUT);
    assert_eq!(network.nodes[3].hold_outcomes, [HoldOutcome::TimedOut]);
}

#[test]
fn paused_process_holds_until_a_peer_confirms() {
    let mut network = started_network(18);
    network.set_replicas(&[Replica::Down]);
    network.freeze(3);
    network.run(seconds(30));
    network.resume(3);
    assert!(network.nodes[3].holds_traffic);
    network.run(Duration::from_millis(500));
    assert_eq!(network.nodes[3].hold_outcomes, [HoldOutcome::Confirmed]);
}

#[test]
fn paused_process_holds_until_the_platform_confirms() {
    let mut network = started_network(19);
    network.freeze(3);
    network.run(seconds(30));
    network.isolate([3]);
    network.resume(3);
    network.run(Duration::from_millis(500));
    assert_eq!(network.nodes[3].hold_outcomes, [HoldOutcome::Confirmed]);
}

#[test]
fn paused_process_takes_the_newer_version_before_traffic_goes_on() {
    for cut_off_from_platform in [false, true] {
        for seed in 20..40 {
            let mut network = started_network(seed);
            network.freeze(3);
            network.run(seconds(5));
            let version = network.publish(text(2));
            network.run(seconds(10));
            network.nodes[3].cut_off_from_platform = cut_off_from_platform;
            network.resume(3);
            while network.nodes[3].holds_traffic {
                network.run(Duration::from_millis(1));
            }
            assert_eq!(network.version(3), version, "seed {seed}");
            assert_eq!(network.nodes[3].hold_outcomes, [HoldOutcome::Confirmed]);
        }
    }
}

#[test]
fn processes_that_resume_together_spread_their_calls() {
    const SERVERS: usize = 300;
    const PROCESSES: u64 = 64;
    let servers: String = (0..SERVERS).map(server_text).collect();
    let document = PublishedText {
        version: Version(1),
        text: text(1) + &servers,
    };
    let mut calls: Vec<Millis> = (0..PROCESSES)
        .map(|seed| confirmation_call_at(seed, &document))
        .collect();
    calls.sort_unstable();
    let span = call_jitter(SERVERS).min(MAX_CONFIRM_JITTER);
    let within = |from: &Millis| {
        let share = |at: &&Millis| at.since(*from) < span / 4;
        calls.iter().filter(|at| *at >= from).filter(share).count()
    };
    let most = calls.iter().map(within).max().unwrap();
    let even = PROCESSES as usize / 4;
    assert!(most < 2 * even, "{most} in a quarter of the span");
}

fn server_text(i: usize) -> String {
    format!(
        "[server s{i}]\nservice = ledger\ndata_centre = boston\n\
         agent = 127.0.0.1:{}\ncontrol = 127.0.0.1:{}\n",
        10_000 + i,
        20_000 + i
    )
}

/// Moment at which a process without peers calls the platform to confirm
/// `document` after a pause.
fn confirmation_call_at(seed: u64, document: &PublishedText) -> Millis {
    let mut config = Configuration::new(Millis(0), seed, InstanceId(1), Role::Agent, Vec::new());
    let begin = Millis(10_000);
    config.on_platform_reply(begin, CallId(1), Ok(PlatformReply::Newer(document.clone())));
    assert!(config.is_serving());
    config.on_pause(Millis(50_000));
    loop {
        let now = config.next_timer().max(Millis(50_000));
        config.tick(now);
        if last_call(&mut config).is_some() {
            return now;
        }
    }
}

#[test]
fn hold_ends_at_its_limit_when_nobody_answers() {
    for replica in [Replica::Down, Replica::Silent, Replica::Stale(Version(0))] {
        let mut network = started_network(41);
        network.freeze(3);
        network.run(seconds(10));
        network.isolate([3]);
        network.set_replicas(&[replica]);
        network.resume(3);
        network.run(HOLD_TIMEOUT - Duration::from_millis(1));
        assert!(network.nodes[3].holds_traffic);
        network.run(Duration::from_millis(1));
        assert_eq!(network.nodes[3].hold_outcomes, [HoldOutcome::TimedOut]);
    }
}

#[test]
fn messages_from_before_the_pause_confirm_nothing() {
    let mut network = started_network(42);
    network.freeze(3);
    network.run(seconds(1));
    network.publish(text(2));
    network.run(seconds(10));
    network.isolate([3]);
    network.nodes[3].cut_off_from_platform = true;
    network.resume(3);
    let now = network.now;
    let old = Message::Announce { config: Version(1) };
    network.drive(3, |config| config.on_message(now, address(4), &old));
    network.run(Duration::from_millis(40));
    assert!(network.nodes[3].holds_traffic);
}

#[test]
fn results_of_calls_from_before_the_pause_confirm_nothing() {
    let mut network = started_network(43);
    network.freeze(3);
    network.run(seconds(1));
    network.isolate([3]);
    network.nodes[3].cut_off_from_platform = true;
    network.resume(3);
    let now = network.now;
    let reply = PlatformReply::Unchanged {
        version: Version(1),
    };
    // Calls are numbered from 1.
    for call in 0..=network.nodes[3].calls.len() as u64 {
        let reply = Ok(reply.clone());
        network.drive(3, |config| {
            config.on_platform_reply(now, CallId(call), reply)
        });
    }
    assert!(network.nodes[3].holds_traffic);
}

#[test]
fn peers_whose_data_centre_is_out_are_asked_nothing() {
    let servers = "[data-centre salem]\nregion = east\nstate = out\n\
                   [server a]\nservice = ledger\ndata_centre = boston\n\
                   agent = 10.1.0.1:1\ncontrol = 10.1.0.1:2\n\
                   [server b]\nservice = ledger\ndata_centre = salem\n\
                   agent = 10.1.0.2:1\ncontrol = 10.1.0.2:2\n";
    let peers: [SocketAddrV4; 2] = ["10.1.0.1:2", "10.1.0.2:2"].map(|a| a.parse().unwrap());
    let id = InstanceId::of("balancer");
    let mut now = Millis(1_000_000);
    let mut config = Configuration::new(now, 45, id, Role::Balancer, peers.to_vec());
    config.tick(now);
    // Without a configuration, the state of the data centres is not known yet.
    assert_eq!(version_requests(&mut config), peers);
    let published = PublishedText {
        version: Version(1),
        text: text(1) + servers,
    };
    config.on_platform_reply(now, CallId(1), Ok(PlatformReply::Newer(published)));
    now = now + PEER_ANSWER_TIMEOUT / 2;
    config.tick(now);
    assert_eq!(version_requests(&mut config), [peers[0]]);
    now = now + PEER_ANSWER_TIMEOUT;
    config.tick(now);
    assert!(config.is_serving());
    version_requests(&mut config);
    config.on_pause(now);
    now = now + STALE_MESSAGE_WINDOW;
    config.tick(now);
    assert_eq!(version_requests(&mut config), [peers[0]]);
}

/// Peers that the process asks for their version now.
fn version_requests(config: &mut Configuration) -> Vec<SocketAddrV4> {
    let outputs = std::iter::from_fn(|| config.next_output());
    let asked = outputs.filter_map(|output| match output {
        Output::Send {
            to,
            message: Message::VersionRequest,
        } => Some(to),
        _ => None,
    });
    asked.collect()
}

#[test]
fn processes_that_hold_do_not_confirm_one_another() {
    let mut network = started_network(44);
    for node in 0..12 {
        network.freeze(node);
    }
    network.run(seconds(10));
    network.set_replicas(&[Replica::Down]);
    for node in 0..12 {
        network.resume(node);
    }
    network.run(HOLD_TIMEOUT);
    for node in &network.nodes {
        assert_eq!(node.hold_outcomes, [HoldOutcome::TimedOut], "{}", node.name);
    }
}

#[test]
fn process_frozen_while_it_starts_asks_the_platform_again() {
    let silent = vec![address(7)];
    // With this seed, the first call is made before peers must have answered.
    let mut config = Configuration::new(
        Millis(0),
        EARLY_CALL_SEED,
        InstanceId(1),
        Role::Agent,
        silent,
    );
    let published = |version, slots| {
        let text = text(slots);
        Ok(PlatformReply::Newer(PublishedText { version, text }))
    };
    // The platform answers before the time for the peer's answer is over.
    let early = Millis(PEER_ANSWER_TIMEOUT.as_millis() as u64 - 1);
    config.tick(early);
    let first_call = last_call(&mut config).expect("this seed makes the first call early");
    config.on_platform_reply(early, first_call, published(Version(1), 1));
    assert!(!config.is_serving());
    let late = Millis(3_600_000);
    config.on_pause(late);
    config.tick(late);
    let second_call = last_call(&mut config).expect("a process calls the platform after a pause");
    config.on_platform_reply(late, first_call, published(Version(1), 1));
    config.tick(late + PEER_ANSWER_TIMEOUT);
    assert!(!config.is_serving());
    config.on_platform_reply(
        late + PEER_ANSWER_TIMEOUT,
        second_call,
        published(Version(2), 2),
    );
    assert_eq!(config.version(), Version(2));
}

/// Last platform call among the pending outputs of a process.
fn last_call(config: &mut Configuration) -> Option<CallId> {
    let mut last = None;
    while let Some(output) = config.next_output() {
        if let Output::CallPlatform(call) = output {
            last = Some(call.id);
        }
    }
    last
}

#[test]
fn quiet_fleet_calls_the_platform_seldom() {
    let mut network = started_network(45);
    let before = network.calls();
    let span = seconds(600);
    network.run(span);
    let calls = network.calls() - before;
    let pollers = 2 * POLLERS_PER_GROUP;
    let others = network.nodes.len() - pollers;
    // Each follower polls again after 0.5 to 1.5 periods.
    let most = pollers * (span.as_secs() / LONG_POLL_WAIT.as_secs()) as usize
        + others * (2 * span.as_secs() / FOLLOWER_POLL_PERIOD.as_secs()) as usize;
    println!("{calls} calls of 12 processes in 600 s, bound {most}");
    assert!(calls <= most, "{calls} > {most}");
}

/// Moments at which one process calls the platform from its start on, when each
/// call gets the same answer.
fn startup_calls(
    seed: u64,
    answer: &Result<PlatformReply, PlatformCallError>,
    span: Duration,
) -> Vec<Millis> {
    let id = InstanceId(seed);
    let mut config = Configuration::new(Millis(0), seed, id, Role::Agent, Vec::new());
    let mut calls = Vec::new();
    while config.next_timer() < Millis(0) + span {
        let now = config.next_timer();
        config.tick(now);
        while let Some(output) = config.next_output() {
            if let Output::CallPlatform(call) = output {
                calls.push(now);
                config.on_platform_reply(now, call.id, answer.clone());
            }
        }
        if config.is_serving() {
            config.set_members(now, group_of(seed));
            let heartbeat = Message::Announce { config: Version(1) };
            config.on_message(now, address(0), &heartbeat);
        }
    }
    calls
}

/// Members of the group of the process with this identity.
fn group_of(seed: u64) -> Vec<Peer> {
    let members = (SERVERS / GROUPS) as u64;
    let first = seed / members * members;
    let peer = |id| Peer {
        id: InstanceId(id),
        control: address(id as usize),
    };
    (first..first + members).map(peer).collect()
}

/// Highest number of calls within any second.
fn busiest_second(mut calls: Vec<Millis>) -> usize {
    calls.sort_unstable();
    let within = |from: &Millis| calls.partition_point(|at| at.since(*from) < seconds(1));
    let counts = calls.iter().enumerate().map(|(i, from)| within(from) - i);
    counts.max().unwrap_or_default()
}

#[test]
fn start_of_the_whole_fleet_at_once_stays_below_the_platforms_limit() {
    let document = PublishedText {
        version: Version(1),
        text: text(1),
    };
    let up = Ok(PlatformReply::Newer(document));
    let down = Err(PlatformCallError::TimedOut);
    for answer in [up, down] {
        let calls = (0..PROCESSES as u64)
            .flat_map(|seed| startup_calls(seed, &answer, seconds(60)))
            .collect();
        let most = busiest_second(calls);
        println!("busiest second of a start of {PROCESSES}: {most} calls");
        assert!(most < PLATFORM_CALLS_PER_S_LIMIT, "{most}");
    }
}

#[test]
fn calls_of_a_whole_fleet_for_one_cause_stay_below_the_platforms_limit() {
    let mut random = Random::new(46);
    let span = call_jitter(SERVERS);
    let calls = (0..PROCESSES)
        .map(|_| random.within(Millis(0), span))
        .collect();
    let most = busiest_second(calls);
    let idle = 2 * GROUPS / LONG_POLL_WAIT.as_secs() as usize
        + PROCESSES / FOLLOWER_POLL_PERIOD.as_secs() as usize;
    println!("busiest second of {PROCESSES} for one cause: {most}; quiet: {idle} a second");
    assert!(most + idle < PLATFORM_CALLS_PER_S_LIMIT, "{most} + {idle}");
}

fn counts(network: &Network, count: impl Fn(&Configuration) -> u64) -> u64 {
    let configs = network.nodes.iter().filter_map(|n| n.config.as_ref());
    configs.map(count).sum()
}

quickcheck! {
    // Forged messages are rejected before this point, but a faulty process may
    // send wrong ones.
    fn arbitrary_messages_never_revert_or_panic(inputs: Vec<(u8, u64, String)>) -> bool {
        let mut config = serving();
        let mut now = Millis(100_000);
        for (kind, number, text) in inputs {
            now = now + Duration::from_millis(number % 500);
            let version = Version(number % 4);
            let from = address(usize::from(kind) % 7);
            match kind % 8 {
                0 => config.on_message(now, from, &Message::Announce { config: version }),
                1 => config.on_message(now, from, &Message::DeltaRequest { have: version }),
                2 => config.on_message(now, from, &Message::Delta(delta(version, text))),
                3 => config.on_platform_reply(now, CallId(number % 9), Ok(PlatformReply::Newer(PublishedText { version, text }))),
                4 => config.on_platform_reply(now, CallId(number % 9), Ok(PlatformReply::Unchanged { version })),
                5 => config.on_document(now, from, Ok(PublishedText { version, text })),
                6 => config.on_pause(now),
                _ => config.tick(now),
            }
            while config.next_output().is_some() {}
        }
        config.is_serving() && config.version() == Version(2)
    }
}

/// A process with version 2 in force.
fn serving() -> Configuration {
    let id = InstanceId(1);
    let mut config = Configuration::new(Millis(0), 1, id, Role::Agent, Vec::new());
    let document = PublishedText {
        version: Version(2),
        text: text(1),
    };
    assert!(Fleet::parse(document.version, &document.text).is_ok());
    let now = Millis(10_000);
    config.tick(now);
    config.on_platform_reply(now, CallId(1), Ok(PlatformReply::Newer(document)));
    assert_eq!(config.version(), Version(2));
    config
}

fn delta(to: Version, text: String) -> Delta {
    let name = "defaults".to_string();
    Delta {
        from: Version(2),
        to,
        hash: 0,
        changed: vec![Section { name, text }],
        removed: Vec::new(),
    }
}

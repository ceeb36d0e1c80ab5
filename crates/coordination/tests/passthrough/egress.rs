//! Tests of the egress queue and of the meter that tells bulk data from interactive
//! data, with a link of 10 Mbit/s and datagrams that take about 1 ms each.

use std::collections::VecDeque;
use std::time::Duration;

use quickcheck::quickcheck;
use ramp_coordination::passthrough::egress::BulkMeter;
use ramp_coordination::passthrough::egress::Class;
use ramp_coordination::passthrough::egress::Datagram;
use ramp_coordination::passthrough::egress::EgressQueue;
use ramp_coordination::passthrough::link_rate::LinkRate;
use ramp_state::time::Millis;

use crate::fixture::flow;

const LINK_MBPS: f64 = 10.0;
const PAYLOAD_BYTES: usize = 1244;
const HEADER_BYTES: usize = 28;
const URGENT: Class = Class::Interactive { priority: 0 };
const NORMAL: Class = Class::Interactive { priority: 2 };

#[derive(Debug)]
struct TestDatagram {
    class: Class,
    pushed_at: Millis,
}

impl Datagram for TestDatagram {
    fn payload_len_bytes(&self) -> usize {
        PAYLOAD_BYTES
    }
}

fn queue() -> EgressQueue<TestDatagram> {
    EgressQueue::for_link(LinkRate::from_megabits(LINK_MBPS)).unwrap()
}

fn push(queue: &mut EgressQueue<TestDatagram>, at: Millis, class: Class, count: usize) {
    for _ in 0..count {
        let pushed_at = at;
        queue.push(at, class, TestDatagram { class, pushed_at });
    }
}

fn drain(queue: &mut EgressQueue<TestDatagram>, now: Millis) -> Vec<TestDatagram> {
    std::iter::from_fn(|| queue.pop(now)).collect()
}

/// Runs the queue for `ms`, with `arrivals` in each millisecond. Returns what was
/// sent, each with the time at which it left.
fn run(
    queue: &mut EgressQueue<TestDatagram>,
    ms: u64,
    arrivals: &[Class],
) -> Vec<(Millis, TestDatagram)> {
    let mut sent = Vec::new();
    for now in (0..ms).map(Millis) {
        for class in arrivals {
            push(queue, now, *class, 1);
        }
        sent.extend(drain(queue, now).into_iter().map(|d| (now, d)));
    }
    sent
}

fn share(sent: &[(Millis, TestDatagram)], class: Class) -> f64 {
    let own = sent.iter().filter(|(_, d)| d.class == class).count();
    own as f64 / sent.len() as f64
}

fn longest_wait(sent: &[(Millis, TestDatagram)], class: Class) -> Duration {
    let own = sent.iter().filter(|(_, d)| d.class == class);
    own.map(|(at, d)| at.since(d.pushed_at)).max().unwrap()
}

/// Guards against a change for deployments whose links are wide or not stated.
#[test]
fn only_a_narrow_link_has_a_queue() {
    for (megabits_per_s, narrow) in [(10.0, true), (99.9, true), (100.0, false), (200.0, false)] {
        let rate = LinkRate::from_megabits(megabits_per_s);
        let queue = EgressQueue::<TestDatagram>::for_link(rate);
        assert_eq!(queue.is_some(), narrow, "{megabits_per_s} Mbit/s");
    }
    assert!(EgressQueue::<TestDatagram>::for_link(None).is_none());
}

/// Guards against a queue that forms in the network because headers are not counted
/// or the whole rate is used, and against a link that is left idle.
#[test]
fn a_backlogged_queue_uses_95_percent_of_the_link() {
    let sent = run(&mut queue(), 10_000, &[Class::Bulk, NORMAL]);
    let bits = sent.len() * (PAYLOAD_BYTES + HEADER_BYTES) * 8;
    let used = bits as f64 / (LINK_MBPS * 1e6 * 10.0);
    assert!((0.945..0.955).contains(&used), "{used}");
}

/// Guards against owner queries that wait behind uploads, so that replies arrive late
/// and searches multiply.
#[test]
fn control_overtakes_queued_bulk_data() {
    let mut queue = queue();
    push(&mut queue, Millis(0), Class::Bulk, 25);
    drain(&mut queue, Millis(0));
    push(&mut queue, Millis(1), Class::Control, 1);
    let sent: Vec<_> = (1..6)
        .flat_map(|ms| drain(&mut queue, Millis(ms)))
        .collect();
    assert_eq!(sent[0].class, Class::Control);
}

/// Guards against a burst of one route's requests that delays a more urgent route.
#[test]
fn interactive_data_leaves_by_priority_of_its_route() {
    let mut queue = queue();
    push(&mut queue, Millis(0), NORMAL, 10);
    push(&mut queue, Millis(0), URGENT, 1);
    assert_eq!(queue.pop(Millis(0)).unwrap().class, URGENT);
    // Far more than fits: what the limit cuts off is of the lower priority.
    push(&mut queue, Millis(0), NORMAL, 500);
    push(&mut queue, Millis(0), URGENT, 100);
    let sent: Vec<_> = (0..120)
        .flat_map(|ms| drain(&mut queue, Millis(ms)))
        .collect();
    assert_eq!(sent.iter().filter(|d| d.class == URGENT).count(), 100);
    assert!(sent[..100].iter().all(|d| d.class == URGENT));
}

/// Guards against a class that starves while those before it fill the link: uploads
/// that never end, or requests that wait for a flood of owner queries.
#[test]
fn lower_classes_get_their_guaranteed_shares() {
    let sent = run(&mut queue(), 4000, &[NORMAL, NORMAL, Class::Bulk]);
    let bulk = share(&sent, Class::Bulk);
    assert!((0.24..0.26).contains(&bulk), "{bulk}");
    let all = [Class::Control, Class::Control, NORMAL, Class::Bulk];
    let sent = run(&mut queue(), 4000, &all);
    for class in [NORMAL, Class::Bulk] {
        let guaranteed = share(&sent, class);
        assert!((0.24..0.26).contains(&guaranteed), "{class:?} {guaranteed}");
    }
}

/// Guards against senders that retransmit after 200 ms what is still queued, which
/// keeps the link saturated.
#[test]
fn bulk_data_waits_at_most_120_ms_and_is_dropped_on_arrival() {
    let mut queue = queue();
    let sent = run(&mut queue, 4000, &[NORMAL, Class::Bulk]);
    let wait = longest_wait(&sent, Class::Bulk);
    assert!(wait <= Duration::from_millis(125), "{wait:?}");
    assert!(wait >= Duration::from_millis(100), "{wait:?}");
    let drops = queue.take_drops();
    assert!(drops.full[Class::Bulk.index()] > 0);
    assert_eq!(drops.expired[Class::Bulk.index()], 0);
    assert!(queue.take_drops().is_empty());
}

/// Guards against requests that are held until their caller has given up.
#[test]
fn control_and_interactive_data_wait_at_most_250_ms() {
    let arrivals = [Class::Control, Class::Control, URGENT, NORMAL, Class::Bulk];
    let sent = run(&mut queue(), 4000, &arrivals);
    for class in [Class::Control, URGENT] {
        let wait = longest_wait(&sent, class);
        assert!(wait <= Duration::from_millis(250), "{class:?} {wait:?}");
    }
    // A pause of the process, as with a used-up processor quota.
    let mut queue = queue();
    push(&mut queue, Millis(0), NORMAL, 20);
    assert!(drain(&mut queue, Millis(251)).is_empty());
    assert_eq!(queue.take_drops().expired[NORMAL.index()], 20);
    assert_eq!(queue.time_to_next(Millis(251)), None);
}

/// Guards against a burst after a pause that fills the network's queue.
#[test]
fn a_pause_is_made_up_for_only_in_part() {
    let mut queue = queue();
    push(&mut queue, Millis(0), NORMAL, 150);
    let first = drain(&mut queue, Millis(0)).len();
    assert!(first <= 3, "{first}");
    let burst = drain(&mut queue, Millis(90)).len();
    assert!((40..=55).contains(&burst), "{burst}");
    // An idle time earns nothing.
    let mut idle = self::queue();
    push(&mut idle, Millis(5000), NORMAL, 150);
    assert_eq!(drain(&mut idle, Millis(5000)).len(), first);
}

/// Guards against a thread that spins or sleeps too long while datagrams wait, and
/// against a backlog that misstates the delay that timeouts are extended by.
#[test]
fn backlog_and_time_to_next_follow_the_link() {
    let mut queue = queue();
    assert_eq!(queue.backlog(Millis(0)), Duration::ZERO);
    push(&mut queue, Millis(0), NORMAL, 100);
    let backlog = queue.backlog(Millis(0));
    assert!((106..=108).contains(&backlog.as_millis()), "{backlog:?}");
    let mut now = Millis(0);
    while let Some(left) = queue.time_to_next(now) {
        assert!(left <= Duration::from_millis(4), "{left:?}");
        drain(&mut queue, now);
        now = now + Duration::from_millis(1);
    }
    assert!((104..=108).contains(&now.0), "{now:?}");
    assert_eq!(queue.backlog(Millis(110)), Duration::ZERO);
}

/// Guards against an upload that counts as interactive, and against a flow that stays
/// bulk after its upload.
#[test]
fn a_flow_is_bulk_after_16_kb_within_2_s() {
    let mut meter = BulkMeter::default();
    let class = |meter: &BulkMeter, ms| meter.class_of(Millis(ms), &flow(1), 1200, Some(2));
    for _ in 0..14 {
        assert_eq!(class(&meter, 1000), NORMAL);
        meter.record(Millis(1000), &flow(1), 1200);
    }
    assert_eq!(class(&meter, 1000), Class::Bulk);
    assert_eq!(class(&meter, 2700), Class::Bulk);
    assert_eq!(class(&meter, 3000), NORMAL);
    let without_data = meter.class_of(Millis(1000), &flow(1), 0, Some(2));
    assert_eq!(without_data, Class::Control);
    // 7 kB a second is no bulk data, however long it lasts.
    for ms in (10_000..60_000).step_by(200) {
        meter.record(Millis(ms), &flow(2), 1400);
        let class = meter.class_of(Millis(ms), &flow(2), 1400, Some(2));
        assert_eq!(class, NORMAL, "{ms}");
    }
}

/// Guards against memory that grows with the number of flows, on machines with 64 MB.
#[test]
fn the_meter_counts_a_limited_number_of_flows() {
    let mut meter = BulkMeter::default();
    for port in 0..20_000 {
        meter.record(Millis(0), &flow(port), 1200);
    }
    assert!(meter.flow_count() <= 4096);
    for port in 0..5000 {
        meter.record(Millis(2500), &flow(port), 0);
    }
    assert_eq!(meter.flow_count(), 0);
}

quickcheck! {
    /// Guards against datagrams that are lost without being counted, that leave a
    /// class out of order, or that stay in the queue.
    fn every_datagram_is_sent_or_counted_as_dropped(inputs: Vec<(u8, u8)>) -> bool {
        let mut queue = queue();
        let mut now = Millis(0);
        let (mut pushed, mut sent) = (0, 0);
        let mut last_of_class: [VecDeque<Millis>; 3] = Default::default();
        for (pause_ms, kind) in inputs.into_iter().chain([(255, 0), (255, 0)]) {
            now = now + Duration::from_millis(pause_ms.into());
            for datagram in drain(&mut queue, now) {
                sent += 1;
                let last = &mut last_of_class[datagram.class.index()];
                assert!(last.back().is_none_or(|at| *at <= datagram.pushed_at));
                last.push_back(datagram.pushed_at);
            }
            let class = [Class::Control, NORMAL, Class::Bulk][usize::from(kind % 3)];
            let count = usize::from(kind);
            pushed += count;
            push(&mut queue, now, class, count);
        }
        drain(&mut queue, now + Duration::from_secs(1));
        let drops = queue.take_drops();
        let dropped: u64 = drops.by_class().iter().sum();
        queue.time_to_next(now).is_none() && pushed as u64 == sent + dropped
    }
}

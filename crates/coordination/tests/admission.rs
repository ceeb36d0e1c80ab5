//! Admission and routing of requests: slots and connections are never exceeded,
//! the queue is in order, and agents share their load evenly.

#[path = "common/requests.rs"]
mod common;
#[path = "common/sim.rs"]
mod sim;

use std::sync::Arc;
use std::time::Duration;

use ramp_coordination::admission::Admission;
use ramp_coordination::concurrency_limit::RequestOutcome;
use ramp_coordination::random::Random;
use ramp_coordination::request_router::Action;
use ramp_coordination::request_router::PendingRequest;
use ramp_coordination::request_router::RequestRouter;
use ramp_state::fleet::ServerState;
use ramp_state::key::InstanceId;
use ramp_state::policy::Policy;
use ramp_state::time::Millis;
use ramp_state::verdict::NotRun;

use common::id;
use common::members;
use common::snapshot;
use sim::End;
use sim::Sim;

const SEEDS: u64 = 100;
const AGENTS: usize = 7;
const SERVICE: Duration = Duration::from_millis(20);

/// Requests per second that seven servers with five slots each can serve.
const CAPACITY_PER_S: u64 = 7 * 5 * 50;

/// Picks an agent: one of them gets three times as many requests as each other.
fn skewed(random: &mut Random) -> usize {
    random.below(9).min(6) as usize
}

#[test]
fn in_progress_stays_even_at_70_percent_load() {
    const RUN: Duration = Duration::from_secs(10);
    let mut worst: f64 = 0.0;
    let (mut forwarded, mut total) = (0, 0);
    for (lag_ms, seeds) in [(3, 10), (5000, 5)] {
        for seed in 0..seeds {
            let mut sim = Sim::new(seed, AGENTS, &Policy::default(), SERVICE);
            sim.report_age = Duration::from_millis(lag_ms);
            sim.warm_up();
            sim.load(CAPACITY_PER_S * 7 / 10, Duration::from_secs(1), skewed);
            sim.reset_counts();
            sim.load(CAPACITY_PER_S * 7 / 10, RUN, skewed);
            let means = sim.means();
            let most = means.iter().copied().fold(0.0, f64::max);
            let least = means.iter().copied().fold(f64::MAX, f64::min);
            worst = worst.max(most - least);
            forwarded += sim.forwarded;
            total += sim.done.len() as u64;
            let place = format!("lag {lag_ms} ms, seed {seed}");
            assert!(most - least <= 1.0, "{place}: {means:.2?}");
            assert_eq!(
                sim.served(),
                sim.done.len() as u64,
                "{place}: {}",
                sim.summary()
            );
        }
    }
    let share = forwarded as f64 / total as f64;
    println!("worst difference {worst:.2} slots, {share:.3} of requests forwarded");
}

#[test]
fn slots_hold_under_any_load_and_refusals_come_at_once() {
    let policy = Policy::default();
    for seed in 0..SEEDS / 4 {
        let mut sim = Sim::new(seed, AGENTS, &policy, SERVICE);
        sim.warm_up();
        sim.load(CAPACITY_PER_S * 3, Duration::from_secs(2), skewed);
        for server in &sim.servers {
            assert_eq!((server.refused, server.max_excess), (0, 0), "seed {seed}");
        }
        let mut waits: Vec<Duration> = sim.refused().map(|d| d.at.since(d.arrived)).collect();
        waits.sort_unstable();
        // The queue limit, and some time for hops to other agents.
        let most = policy.queue_limit + Duration::from_millis(20);
        assert!(waits[waits.len() - 1] <= most, "seed {seed}: {waits:?}");
        assert!(
            waits[waits.len() / 2] <= Duration::from_millis(20),
            "seed {seed}"
        );
    }
}

#[test]
fn refused_callers_are_told_to_return_at_different_times() {
    let mut sim = Sim::new(1, 1, &Policy::default(), SERVICE);
    sim.load(2000, Duration::from_secs(2), |_| 0);
    let mut seconds = [0_usize; 5];
    let mut count = 0;
    for done in sim.refused() {
        let after = done.retry_after.unwrap();
        seconds[after.as_millis().div_ceil(1000) as usize] += 1;
        count += 1;
    }
    assert!(count > 1000);
    for second in 1..=4 {
        assert!(seconds[second] * 2 < count, "{seconds:?}");
    }
    assert!(seconds[2..].iter().all(|n| n * 5 > count), "{seconds:?}");
}

fn request(deadline: Millis) -> PendingRequest {
    PendingRequest {
        deadline,
        feed: false,
        forwarded: false,
        tried: Vec::new(),
    }
}

const LATER: Millis = Millis(60_000);

/// Router of the first agent of a group of two; `change` edits the members.
fn pair(change: impl Fn(InstanceId, &mut ramp_state::routing_table::Member)) -> RequestRouter {
    let policy = Policy {
        cold_slots: 2,
        ..Policy::default()
    };
    let mut both = members(2, &policy);
    for m in &mut both {
        change(m.id, m);
    }
    let mut agent = RequestRouter::new(Millis(0), id(0), 1);
    agent.install(Millis(0), Arc::new(snapshot(1, both)));
    agent
}

#[test]
fn a_full_agent_forwards_before_it_queues() {
    let mut agent = pair(|_, _| {});
    let now = Millis(10);
    for _ in 0..2 {
        assert!(matches!(agent.begin(now, &request(LATER)), Action::Run(_)));
    }
    assert_eq!(agent.begin(now, &request(LATER)), Action::Forward(id(1)));
    // A forwarded request is never forwarded again.
    let mut forwarded_req = request(LATER);
    forwarded_req.forwarded = true;
    let action = agent.begin(now, &forwarded_req);
    assert!(matches!(action, Action::Refuse(r) if r.reason == NotRun::Cold));
}

#[test]
fn a_leaving_agent_runs_nothing_new() {
    let leaving = |who: InstanceId, m: &mut ramp_state::routing_table::Member| {
        if who == id(0) {
            m.state = ServerState::Leaving;
        }
    };
    let mut agent = pair(leaving);
    let now = Millis(10);
    assert!(agent.load(now, 0).leaving);
    assert_eq!(agent.begin(now, &request(LATER)), Action::Forward(id(1)));
    let mut forwarded_req = request(LATER);
    forwarded_req.forwarded = true;
    let action = agent.begin(now, &forwarded_req);
    assert!(matches!(action, Action::Refuse(r) if r.reason == NotRun::Leaving));
    // The other agent is leaving too.
    let mut agent = pair(|_, m| m.state = ServerState::Leaving);
    let action = agent.begin(now, &request(LATER));
    assert!(matches!(action, Action::Refuse(r) if r.reason == NotRun::Leaving));
}

#[test]
fn nothing_goes_to_a_data_centre_that_is_out() {
    let mut agent = pair(|who, m| m.reachable = who != id(0));
    let action = agent.begin(Millis(10), &request(LATER));
    assert!(matches!(action, Action::Refuse(r) if r.reason == NotRun::DataCentreOut));
    let mut agent = pair(|who, m| m.reachable = who == id(0));
    for _ in 0..20 {
        let action = agent.begin(Millis(10), &request(LATER));
        assert!(!matches!(action, Action::Forward(_)));
    }
}

#[test]
fn waiting_is_in_order_and_ends_with_its_time() {
    let policy = Arc::new(Policy {
        slots: 1,
        ..Policy::default()
    });
    let mut now = Millis(0);
    let mut admission = Admission::new(now, policy.clone());
    let mut held = admission.admit(now).unwrap();
    now = now + Duration::from_millis(10);
    admission.record_outcome(
        now,
        held,
        RequestOutcome::Answered(Duration::from_millis(10)),
    );
    admission.release(now, held);
    held = admission.admit(now).unwrap();
    let first = admission.enqueue(now, LATER).unwrap();
    let second = admission.enqueue(now, LATER).unwrap();
    let hurried = admission.enqueue(now, now + Duration::from_millis(5));
    assert_eq!(hurried, Err(NotRun::Overloaded));
    assert_eq!(first.until, now + policy.queue_limit);
    assert!(admission.admit(now).is_none());
    now = now + Duration::from_millis(10);
    admission.release(now, held);
    let admitted = admission.take_admitted();
    assert_eq!(admitted.len(), 1);
    assert_eq!(admitted[0].ticket, first.ticket);
    // The second one's wait times out; the free slot is not given to it.
    now = now + policy.queue_limit;
    admission.release(now, admitted[0].permit);
    assert_eq!(admission.take_admitted(), []);
    admission.cancel_wait(second.ticket);
    assert!(admission.admit(now).is_some());
}

#[test]
fn requests_end_once_each() {
    for seed in 0..SEEDS / 10 {
        let mut sim = Sim::new(seed, AGENTS, &Policy::default(), SERVICE);
        sim.load(3000, Duration::from_secs(2), skewed);
        sim.run(Duration::from_secs(10));
        assert_eq!(sim.done.len(), sim.count_arrived(), "seed {seed}");
        let is_refused_as_cold = |end: End| end == End::NotRun(NotRun::Cold);
        assert!(
            sim.done.iter().any(|d| is_refused_as_cold(d.end)),
            "seed {seed}"
        );
    }
}

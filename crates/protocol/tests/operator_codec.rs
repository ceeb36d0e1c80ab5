//! Properties of the codecs of operator calls: decoding an encoded value gives
//! the same value, arbitrary bytes are refused without a panic, and adding up
//! received counts of any size does not overflow.

use std::net::Ipv4Addr;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use ramp_protocol::operator_capnp as wire;
use ramp_protocol::operator_codec;
use ramp_protocol::summary_codec;
use ramp_state::error_budget::ErrorBudgets;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::ledger::answer_times::AnswerTimes;
use ramp_state::ledger::callers::CallerEntry;
use ramp_state::ledger::counts::ClassCounts;
use ramp_state::ledger::counts::Counts;
use ramp_state::ledger::event_kind;
use ramp_state::ledger::summary::RowKey;
use ramp_state::ledger::summary::Summary;
use ramp_state::policy::Policy;

const SEED: u64 = 23;

#[test]
fn arbitrary_bytes_never_panic() {
    fn property(words: Vec<u64>) -> bool {
        let bytes = segment(&words);
        let Ok(reader) = serialize::read_message(&bytes[..], ReaderOptions::new()) else {
            return true;
        };
        if let Ok(status) = reader.get_root::<wire::status::Reader<'_>>() {
            let _ = operator_codec::read_status(status);
        }
        if let Ok(summary) = reader.get_root::<wire::summary::Reader<'_>>() {
            let _ = summary_codec::read_summary(summary);
        }
        true
    }
    check(property as fn(Vec<u64>) -> bool);
}

#[test]
fn a_changed_byte_never_panics() {
    fn property(numbers: Vec<u64>, at: usize, byte: u8) -> bool {
        let mut bytes = written(&summary(&numbers));
        let at = at % bytes.len();
        bytes[at] ^= byte;
        let _ = read(&bytes);
        true
    }
    check(property as fn(Vec<u64>, usize, u8) -> bool);
}

#[test]
fn summaries_with_any_counts_are_read_as_written_and_add_up_without_overflow() {
    fn property(numbers: Vec<u64>) -> bool {
        let sent = summary(&numbers);
        let Some(received) = read(&written(&sent)) else {
            return false;
        };
        let mut sum = received.clone();
        sum.merge(&sent);
        sum.callers.truncate(1);
        let total = sum.total();
        let mut budgets = ErrorBudgets::default();
        budgets.add(&total, &Policy::default());
        budgets.add(&total, &Policy::default());
        let _ = total.times.quantile(500_000);
        received == sent && budgets.served.burn_rate() >= 0.0
    }
    check(property as fn(Vec<u64>) -> bool);
}

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(property);
}

/// Cap'n Proto message of one segment with these words.
fn segment(words: &[u64]) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    bytes.extend((words.len() as u32).to_le_bytes());
    bytes.extend(words.iter().flat_map(|word| word.to_le_bytes()));
    bytes
}

fn written(summary: &Summary) -> Vec<u8> {
    let mut builder = Builder::new_default();
    summary_codec::write_summary(builder.init_root(), summary);
    serialize::write_message_to_words(&builder)
}

fn read(bytes: &[u8]) -> Option<Summary> {
    let reader = serialize::read_message(bytes, ReaderOptions::new()).ok()?;
    let root = reader.get_root::<wire::summary::Reader<'_>>().ok()?;
    summary_codec::read_summary(root).ok()
}

/// Summary whose counts are `numbers` in order, repeated as often as needed.
fn summary(numbers: &[u64]) -> Summary {
    let mut numbers = numbers.iter().copied().chain([u64::MAX, 1, 0]).cycle();
    let mut next = || numbers.next().unwrap_or_default();
    let mut counts = Counts::default();
    for kind in event_kind::ALL {
        counts.add_many(kind, next());
    }
    counts.times = AnswerTimes::from_buckets(std::iter::repeat_with(&mut next).take(40));
    let classes = ClassCounts {
        served: next(),
        not_run: next(),
        may_have_run: next(),
        left: next(),
        flows: next(),
        given_up: next(),
        broken: next(),
        ended: next(),
    };
    let mut summary = Summary {
        asked: Duration::from_millis(next()),
        step: Duration::from_millis(next()),
        covered: Some(Duration::from_millis(next())),
        ledgers: next(),
        started_within: next(),
        without_detail: next(),
        lost: next(),
        other: counts,
        slices: vec![classes; 3],
        ..Summary::default()
    };
    for i in 0..3 {
        let key = RowKey {
            service: ServiceId(i),
            server: (i > 0).then_some(InstanceId(i)),
        };
        summary.rows.insert(key, counts);
        let entry = CallerEntry {
            classes,
            unseen: next(),
            floor: next(),
        };
        summary.callers.top.insert(Ipv4Addr::from(i as u32), entry);
    }
    summary.callers.rest = classes;
    summary.callers.floor = next();
    summary
}

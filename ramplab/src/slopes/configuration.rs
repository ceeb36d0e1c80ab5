//! Costs of the configuration by number of servers: sizes of the fleet document
//! and of a delta, memory of a process, and time to parse and compile it.

use std::collections::HashSet;

use ramp_coordination::delta;
use ramp_coordination::delta::Versioned;
use ramp_protocol::codec;
use ramp_protocol::message::Envelope;
use ramp_protocol::message::Message;
use ramp_state::document::Document;
use ramp_state::fleet::Fleet;
use ramp_state::key::Incarnation;
use ramp_state::key::InstanceId;
use ramp_state::key::Version;
use ramp_state::routing_table::RoutingTable;

use crate::heap;
use crate::slopes::Point;
use crate::slopes::Series;
use crate::slopes::SeriesKind;
use crate::slopes::best_time;
use crate::slopes::synthetic_fleet;

/// Numbers of services at which the configuration is measured.
const GROUP_COUNTS: [usize; 4] = [42, 85, 170, 340];

/// Measures the document, a delta, and the work of bringing a new version into
/// force.
pub fn series() -> Vec<Series> {
    let mut text_bytes = Vec::new();
    let mut held_bytes = Vec::new();
    let mut delta_bytes = Vec::new();
    let mut parse_times = Vec::new();
    let mut compile_times = Vec::new();
    for groups in GROUP_COUNTS {
        let text = synthetic_fleet::document_text(groups, synthetic_fleet::TARGET_MEMBER_COUNT);
        let x = (groups * synthetic_fleet::TARGET_MEMBER_COUNT) as f64;
        text_bytes.push(Point {
            x,
            y: text.len() as f64,
        });
        let ((fleet, document), used) = heap::measure(|| {
            let fleet = Fleet::parse(Version(1), &text).expect("the text is well-formed");
            (fleet, Document::parse(&text))
        });
        held_bytes.push(Point {
            x,
            y: used.held_bytes as f64,
        });
        delta_bytes.push(Point {
            x,
            y: delta_len_bytes(&document, &text),
        });
        let time = best_time(|| Fleet::parse(Version(1), &text));
        parse_times.push(Point {
            x,
            y: time.as_micros() as f64,
        });
        let time = best_time(|| RoutingTable::compile(&fleet, &HashSet::new()));
        compile_times.push(Point {
            x,
            y: time.as_micros() as f64,
        });
    }
    let series = |name, unit, kind, points| Series {
        name,
        unit,
        per: "server",
        kind,
        points,
        target_size: synthetic_fleet::TARGET_SERVER_COUNT as f64,
    };
    vec![
        series("fleet document", "B", SeriesKind::Count, text_bytes),
        series(
            "fleet and document in memory",
            "B",
            SeriesKind::Count,
            held_bytes,
        ),
        series(
            "delta of a drained server",
            "B",
            SeriesKind::Count,
            delta_bytes,
        ),
        series(
            "reading and checking the document",
            "us",
            SeriesKind::Time,
            parse_times,
        ),
        series("compiling the view", "us", SeriesKind::Time, compile_times),
    ]
}

/// Size in bytes of the datagram that carries the change of one server's state.
fn delta_len_bytes(document: &Document, text: &str) -> f64 {
    let changed = Document::parse(&text.replacen(
        "state = in\n[server s0-1]",
        "state = leaving\n[server s0-1]",
        1,
    ));
    let from = Versioned {
        version: Version(1),
        document,
    };
    let to = Versioned {
        version: Version(2),
        document: &changed,
    };
    let envelope = Envelope {
        sender: InstanceId::of("s0-0"),
        incarnation: Incarnation(1),
        sequence: 1,
        message: Message::Delta(delta::diff(from, to)),
    };
    codec::encode(&envelope).len() as f64
}

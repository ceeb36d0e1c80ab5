//! Tests that deltas contain only the changes between two documents, restore the
//! changed document, and are refused for any other one.

use std::collections::HashMap;

use quickcheck::quickcheck;
use ramp_coordination::delta::ApplyError;
use ramp_coordination::delta::DELTA_LIMIT_BYTES;
use ramp_coordination::delta::Versioned;
use ramp_coordination::delta::apply;
use ramp_coordination::delta::diff;
use ramp_coordination::delta::fits;
use ramp_protocol::message::Delta;
use ramp_protocol::message::Section;
use ramp_state::document::Document;
use ramp_state::key::Version;

/// Sections of a document: the value of each by its number.
type Sections = HashMap<u8, u8>;

fn document(sections: &Sections) -> Document {
    let text: String = sections
        .iter()
        .map(|(name, value)| format!("[section {name}]\nvalue = {value}\n"))
        .collect();
    Document::parse(&text)
}

fn change(from: &Document, to: &Document) -> Delta {
    let version = |version, document| Versioned { version, document };
    diff(version(Version(1), from), version(Version(2), to))
}

quickcheck! {
    fn delta_leads_from_any_document_to_any_other(from: Sections, to: Sections) -> bool {
        let (from, to) = (document(&from), document(&to));
        apply(&from, &change(&from, &to)) == Ok(to)
    }

    fn delta_has_only_what_changed(sections: Sections, name: u8, value: u8) -> bool {
        let from = document(&sections);
        let mut changed = sections.clone();
        let old = changed.insert(name, value);
        let delta = change(&from, &document(&changed));
        delta.removed.is_empty() && delta.changed.len() == usize::from(old != Some(value))
    }

    fn delta_for_another_document_is_refused(from: Sections, other: Sections, to: Sections) -> bool {
        let (from, other, to) = (document(&from), document(&other), document(&to));
        match apply(&other, &change(&from, &to)) {
            Ok(document) => document == to,
            Err(ApplyError::HashDiffers) => true,
        }
    }

    fn arbitrary_delta_never_panics(changed: Vec<(String, String)>, removed: Vec<String>) -> bool {
        let changed = changed.into_iter().map(|(name, text)| Section { name, text });
        let delta = Delta { changed: changed.collect(), removed, ..Delta::default() };
        apply(&document(&Sections::from([(1, 1)])), &delta) == Err(ApplyError::HashDiffers)
    }
}

#[test]
fn section_text_can_not_add_another_section() {
    let base = document(&Sections::from([(1, 1)]));
    let mut delta = change(&base, &document(&Sections::from([(1, 2)])));
    delta.changed[0].text.push_str("[section 2]\nvalue = 1\n");
    assert_eq!(apply(&base, &delta), Err(ApplyError::HashDiffers));
}

#[test]
fn only_short_deltas_fit_into_a_datagram() {
    let delta = |len: usize| Delta {
        changed: vec![Section {
            name: "defaults".to_string(),
            text: "x".repeat(len),
        }],
        ..Delta::default()
    };
    assert!(fits(&delta(DELTA_LIMIT_BYTES - 200)));
    assert!(!fits(&delta(DELTA_LIMIT_BYTES)));
}

#[test]
fn taking_a_data_centre_out_is_a_small_delta() {
    let mut text = String::new();
    for i in 0..100 {
        text.push_str(&format!("[data-centre dc{i}]\nregion = r\nstate = in\n"));
    }
    let from = Document::parse(&text);
    let to = Document::parse(&text.replacen("= in", "= out", 1));
    let delta = change(&from, &to);
    assert_eq!(delta.changed.len(), 1);
    assert!(fits(&delta));
}

//! Canonical form of a document: equality, hash and round trip through text.

use std::collections::HashMap;

use quickcheck::quickcheck;
use ramp_state::document::Document;

const TEXT: &str = "\
; who serves
[service  ledger]
address=10.0.0.1:443

[defaults]
slots :  4
";

#[test]
fn comments_blanks_and_order_of_sections_do_not_matter() {
    let same = "[defaults]\n# four\nslots = 4\n[service ledger]\naddress = 10.0.0.1:443\n";
    let (a, b) = (Document::parse(TEXT), Document::parse(same));
    assert_eq!(a, b);
    assert_eq!(a.hash64(), b.hash64());
    assert_eq!(a.text(), same.replace("# four\n", ""));
}

#[test]
fn values_keys_and_headings_matter() {
    let hash = Document::parse(TEXT).hash64();
    for (old, new) in [
        ("4", "5"),
        ("slots", "weight"),
        ("ledger", "ledgers"),
        ("[defaults]", ""),
    ] {
        let other = Document::parse(&TEXT.replace(old, new));
        assert_ne!(other.hash64(), hash, "{old} -> {new}");
    }
}

#[test]
fn hash_is_the_same_in_every_process() {
    assert_eq!(Document::default().hash64(), EMPTY_HASH);
    assert_eq!(Document::parse(TEXT).hash64(), TEXT_HASH);
}

/// Fixed, because processes that run different versions of the program compare
/// document hashes.
const EMPTY_HASH: u64 = 9_122_936_530_464_443_063;
const TEXT_HASH: u64 = 5_313_272_303_068_561_210;

quickcheck! {
    fn canonical_text_is_read_back(sections: HashMap<u8, Vec<(u8, u16)>>) -> bool {
        let text: String = sections
            .iter()
            .map(|(name, entries)| {
                let lines: String = entries.iter().map(|(k, v)| format!("k{k} = {v}\n")).collect();
                format!("[section {name}]\n{lines}")
            })
            .collect();
        let document = Document::parse(&text);
        Document::parse(&document.text()) == document
    }

    fn canonical_form_of_arbitrary_text_is_stable(text: String) -> bool {
        let document = Document::parse(&text);
        Document::parse(&document.text()) == document
    }
}

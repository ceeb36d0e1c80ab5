//! The key reference in docs/CONFIGURATION.md matches the schema tables.

use std::fs;

use ramp_state::key_reference;

#[test]
fn configuration_page_holds_every_key_as_the_code_has_it() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CONFIGURATION.md");
    let page = fs::read_to_string(path).unwrap();
    let tables = key_reference::markdown();
    assert!(
        page.ends_with(&tables),
        "the page's tables differ; `bramleyramp check --keys` prints what they must be"
    );
}

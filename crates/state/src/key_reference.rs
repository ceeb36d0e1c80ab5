//! Markdown reference of all configuration keys.
//!
//! `bramleyramp check --keys` prints it; docs/CONFIGURATION.md ends with it.

use std::fmt::Write;

use crate::fleet_parse::FLEET_SECTIONS;
use crate::instances::INSTANCE_SECTIONS;
use crate::policy::POLICY_KEYS;
use crate::schema::KeyInfo;
use crate::schema::SectionInfo;
use crate::settings::AGENT_SECTIONS;

/// Tables of all sections and keys of settings, fleet documents and instance
/// lists, in Markdown.
pub fn markdown() -> String {
    let mut page = String::new();
    document(&mut page, "Settings of a process", AGENT_SECTIONS);
    document(&mut page, "Fleet document", FLEET_SECTIONS);
    policy_keys(&mut page);
    document(&mut page, "List of instances", INSTANCE_SECTIONS);
    page
}

fn document(page: &mut String, title: &str, sections: &[SectionInfo]) {
    let _ = writeln!(page, "## {title}\n");
    for info in sections {
        section(page, info);
    }
}

fn section(page: &mut String, info: &SectionInfo) {
    let _ = writeln!(page, "### `{}`\n\n{}.\n", info.heading(), info.description);
    if info.accepts_policy_keys {
        let _ = writeln!(page, "Takes every key of [Policy](#policy).\n");
    }
    if info.keys.is_empty() {
        return;
    }
    let _ = writeln!(page, "| Key | Allowed | Default | What it is |");
    let _ = writeln!(page, "| --- | --- | --- | --- |");
    for key in info.keys {
        key_row(page, key);
    }
    page.push('\n');
}

fn key_row(page: &mut String, key: &KeyInfo) {
    let default = key.default.unwrap_or("none: must be given");
    let _ = writeln!(
        page,
        "| `{}` | {} | {default} | {} |",
        key.name,
        key.format.allowed(),
        key.description
    );
}

fn policy_keys(page: &mut String) {
    let _ = writeln!(page, "## Policy\n");
    let _ = writeln!(page, "| Key | Unit | Range | Default | What it is |");
    let _ = writeln!(page, "| --- | --- | --- | --- | --- |");
    for key in POLICY_KEYS {
        let _ = writeln!(
            page,
            "| `{}` | {} | {} to {} | {} | {} |",
            key.name,
            key.unit,
            key.min,
            key.max,
            key.default(),
            key.description
        );
    }
    page.push('\n');
}

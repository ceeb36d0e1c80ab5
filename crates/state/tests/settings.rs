//! Parsers of settings and of the instance list: the typed values, and that one
//! pass reports every validation error with its line.

use std::collections::HashSet;

use quickcheck::quickcheck;
use ramp_state::document_kind::DocumentKind;
use ramp_state::instances::InstanceList;
use ramp_state::instances::InstanceState;
use ramp_state::instances::Role;
use ramp_state::key::Version;
use ramp_state::settings::Settings;
use ramp_state::validation::ValidationErrors;

const AGENT: &str = "\
; an agent
[instance]
name = ledger-1
data_centre = boston
address = 127.0.0.1:7001
control = 127.0.0.1:7002
metrics = 127.0.0.1:0
key = 000102030405060708090a0b0c0d0e0f
[platform]
addresses = 127.0.0.1:5000, 127.0.0.1:5001
[peers]
control = 127.0.0.1:7004
[backend-server]
address = 127.0.0.1:8080
[fabric]
address = 127.0.0.1:9000
";

/// Lines and keys of the errors.
fn error_places(errors: &ValidationErrors) -> Vec<(usize, &str)> {
    errors
        .iter()
        .map(|error| (error.line, error.key.as_deref().unwrap_or("")))
        .collect()
}

fn errors_of(text: &str, role: Role) -> ValidationErrors {
    Settings::parse(text, role).expect_err("the text has faults")
}

#[test]
fn every_value_of_an_agent_is_read() {
    let settings = Settings::parse(AGENT, Role::Agent).unwrap();
    assert_eq!(settings.name, "ledger-1");
    assert_eq!(settings.key[..3], [0, 1, 2]);
    assert_eq!(settings.platform_addresses.len(), 2);
    assert_eq!(settings.peers.len(), 1);
    let agent = settings.agent.unwrap();
    assert_eq!(agent.backend_server.port(), 8080);
    assert_eq!(agent.fabric.port(), 9000);
}

#[test]
fn balancer_has_no_sections_of_an_agent() {
    let errors = errors_of(AGENT, Role::Balancer);
    assert_eq!(error_places(&errors), [(13, ""), (15, "")]);
}

#[test]
fn all_faults_of_settings_are_found_at_once() {
    let text = "\
[instance]
name = no blanks here
data_centre = boston
address = 127.0.0.1
control = 0.0.0.0:7002
key = 0102
colour = red
name = twice
[platform]
addresses = 127.0.0.1:1, 127.0.0.1:1
[peers]
control = 127.0.0.1:1,, 127.0.0.1:2
[nonsense]
[platform]
addresses = 127.0.0.1:3
";
    let errors = errors_of(text, Role::Balancer);
    let expected = [
        (1, "metrics"),
        (2, "name"),
        (4, "address"),
        (5, "control"),
        (6, "key"),
        (7, "colour"),
        (8, "name"),
        (10, "addresses"),
        (12, "control"),
        (13, ""),
        (14, ""),
    ];
    assert_eq!(error_places(&errors), expected);
}

#[test]
fn a_fault_shows_file_line_finding_and_what_is_allowed() {
    let text = AGENT.replace("127.0.0.1:8080", "here");
    let errors = errors_of(&text, Role::Agent).in_file("agent.ini");
    assert_eq!(
        errors.to_string(),
        "agent.ini:14: [backend-server] address: found `here`; \
         allowed: IPv4:PORT, not 0.0.0.0, port 1 to 65535"
    );
}

#[test]
fn two_sockets_can_not_share_an_address() {
    let text = AGENT.replace("control = 127.0.0.1:7002", "control = 127.0.0.1:7001");
    assert_eq!(
        error_places(&errors_of(&text, Role::Agent)),
        [(6, "control")]
    );
}

#[test]
fn empty_settings_name_each_missing_section() {
    let errors = errors_of("", Role::Agent);
    let found: HashSet<&str> = errors.iter().map(|f| f.found.as_str()).collect();
    let expected = ["[instance]", "[platform]", "[backend-server]", "[fabric]"]
        .map(|heading| format!("no section {heading}"));
    assert_eq!(found, expected.iter().map(String::as_str).collect());
}

#[test]
fn instance_list_is_read_and_its_faults_found() {
    let text = "\
[instance b1]
role = balancer
data_centre = boston
address = 127.0.0.1:6001
control = 127.0.0.1:6002
state = leaving
[instance broken]
role = gardener
";
    let errors = InstanceList::parse(Version(1), text).unwrap_err();
    let expected = [
        (7, "data_centre"),
        (7, "address"),
        (7, "control"),
        (8, "role"),
    ];
    assert_eq!(error_places(&errors), expected);
    let good = text.split("[instance broken]").next().unwrap();
    let list = InstanceList::parse(Version(4), good).unwrap();
    assert_eq!(list.version, Version(4));
    assert_eq!(list.instances["b1"].role, Role::Balancer);
    assert_eq!(list.instances["b1"].state, InstanceState::Leaving);
}

#[test]
fn kind_of_a_text_is_detected_from_its_sections() {
    let balancer = AGENT.split("[backend-server]").next().unwrap();
    let settings = DocumentKind::Settings;
    assert_eq!(DocumentKind::of(AGENT), settings(Role::Agent));
    assert_eq!(DocumentKind::of(balancer), settings(Role::Balancer));
    assert_eq!(DocumentKind::of("[instance b1]"), DocumentKind::Instances);
    assert_eq!(DocumentKind::of("[service x]"), DocumentKind::Fleet);
    assert_eq!(DocumentKind::of(""), DocumentKind::Fleet);
}

quickcheck! {
    fn arbitrary_text_never_panics(text: String) -> bool {
        let _ = InstanceList::parse(Version(1), &text);
        let _ = DocumentKind::of(&text).check(&text);
        Settings::parse(&text, Role::Agent).is_err()
    }

    // Covers the parsing of headings, which arbitrary text seldom has.
    fn changed_settings_never_panic(at: usize, with: String) -> bool {
        let at = at % AGENT.len();
        let text = format!("{}{with}{}", &AGENT[..at], &AGENT[at + 1..]);
        let read = Settings::parse(&text, Role::Agent);
        read.is_ok() || read.is_err_and(|errors| !errors.is_empty())
    }
}

//! Parser of the fleet document: the typed fleet, and that one pass reports every
//! validation error with its line.

use std::time::Duration;

use quickcheck::quickcheck;
use ramp_state::fleet::DataCentreState;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::Scope;
use ramp_state::fleet::ServerState;
use ramp_state::fleet_parse::collisions;
use ramp_state::key::Version;
use ramp_state::policy::POLICY_KEYS;
use ramp_state::policy::Policy;
use ramp_state::validation::ValidationErrors;

const FLEET: &str = "\
[defaults]
slots = 4
deadline_ms = 20000
[data-centre boston]
region = east
[data-centre salem]
region = east
state = out
[service ledger]
address = 10.0.0.1:443
[service intake]
address = 10.0.0.2:443
[server ledger-1]
service = ledger
data_centre = boston
agent = 127.0.0.1:7001
control = 127.0.0.1:7002
[server ledger-2]
service = ledger
data_centre = salem
agent = 127.0.0.1:7003
control = 127.0.0.1:7004
state = leaving
[exception small-machine]
covers = server ledger-1
reason = half the memory until spring
slots = 2
[exception whole-ledger]
covers = service ledger
reason = payroll week
slots = 6
weight = 50
";

/// Lines and keys of the errors.
fn error_places(errors: &ValidationErrors) -> Vec<(usize, &str)> {
    errors
        .iter()
        .map(|error| (error.line, error.key.as_deref().unwrap_or("")))
        .collect()
}

fn parse(text: &str) -> Result<Fleet, ValidationErrors> {
    Fleet::parse(Version(7), text)
}

/// Lines and keys of the errors in a valid document followed by `added`. Line 1 is
/// the first line of `added`.
fn errors_of(added: &str) -> Vec<(usize, String)> {
    let before = FLEET.lines().count();
    let errors = parse(&format!("{FLEET}{added}")).expect_err("the text has faults");
    let place = |(line, key): (usize, &str)| (line - before, key.to_string());
    error_places(&errors).into_iter().map(place).collect()
}

fn one_error(line: usize, key: &str) -> Vec<(usize, String)> {
    vec![(line, key.to_string())]
}

#[test]
fn every_value_of_a_fleet_is_read() {
    let fleet = parse(FLEET).unwrap();
    assert_eq!(fleet.version, Version(7));
    assert_eq!(fleet.defaults.slots, 4);
    assert_eq!(fleet.defaults.deadline, Duration::from_secs(20));
    assert_eq!(fleet.data_centres["boston"].state, DataCentreState::In);
    assert_eq!(fleet.data_centres["salem"].state, DataCentreState::Out);
    assert_eq!(fleet.services["intake"].address.port(), 443);
    assert_eq!(fleet.servers["ledger-2"].state, ServerState::Leaving);
    let exception = &fleet.exceptions["small-machine"];
    assert_eq!(exception.covers, Scope::Server("ledger-1".to_string()));
    assert_eq!(exception.reason, "half the memory until spring");
}

#[test]
fn exceptions_for_a_server_override_those_for_its_service() {
    let fleet = parse(FLEET).unwrap();
    assert_eq!(fleet.policy("ledger-1").slots, 2);
    assert_eq!(fleet.policy("ledger-1").weight, 50);
    assert_eq!(fleet.policy("ledger-2").slots, 6);
    assert_eq!(fleet.policy("ledger-2").deadline, Duration::from_secs(20));
}

#[test]
fn all_faults_of_a_fleet_are_found_at_once() {
    let text = "\
stray = 1
[defaults]
slots = many
slots = 4
colour = red
[data-centre boston]
[service ledger]
address = 10.0.0.1
nonsense
[server ledger-1]
service = ledgr
data_centre = salem
agent = 127.0.0.1:7001
control = 127.0.0.1:7001
state = gone
[exception one]
covers = everything
reason =
[what is this]
[data-centre boston]
region = west
";
    let errors = parse(text).unwrap_err();
    let expected = [
        (1, ""),
        (3, "slots"),
        (4, "slots"),
        (5, "colour"),
        (6, "region"),
        (8, "address"),
        (9, ""),
        (11, "service"),
        (12, "data_centre"),
        (14, "control"),
        (15, "state"),
        (16, ""),
        (17, "covers"),
        (18, "reason"),
        (19, ""),
        (20, ""),
    ];
    assert_eq!(error_places(&errors), expected);
}

#[test]
fn exception_without_reason_is_refused() {
    let missing = "[exception x]\ncovers = service intake\nslots = 1\n";
    assert_eq!(errors_of(missing), one_error(1, "reason"));
    for blank in ["", "  ", "-", "...", "\u{a0}"] {
        let text = format!("[exception x]\nreason = {blank}\ncovers = service intake\nslots = 1\n");
        assert_eq!(errors_of(&text), one_error(2, "reason"), "{blank:?}");
    }
}

#[test]
fn exception_must_cover_something_that_exists() {
    for covers in ["service nobody", "data-centre nowhere", "server none"] {
        let text = format!("[exception x]\ncovers = {covers}\nreason = why\nslots = 1\n");
        assert_eq!(errors_of(&text), one_error(2, "covers"), "{covers}");
    }
}

#[test]
fn exception_must_change_something() {
    let text = "[exception x]\ncovers = service intake\nreason = why\n";
    assert_eq!(errors_of(text), one_error(1, ""));
}

#[test]
fn two_exceptions_can_not_change_the_same_key_of_the_same_thing() {
    let text = "[exception x]\ncovers = service ledger\nreason = why\nslots = 1\n";
    assert_eq!(errors_of(text), one_error(4, "slots"));
}

#[test]
fn services_have_an_address_each() {
    let text = "[service copy]\naddress = 10.0.0.1:443\n";
    assert_eq!(errors_of(text), one_error(2, "address"));
}

#[test]
fn agents_can_not_share_an_address() {
    let server = "[server x]\nservice = ledger\ndata_centre = boston\n";
    let agent = format!("{server}agent = 127.0.0.1:7001\ncontrol = 127.0.0.1:1\n");
    assert_eq!(errors_of(&agent), one_error(4, "agent"));
    let control = format!("{server}agent = 127.0.0.1:1\ncontrol = 127.0.0.1:7001\n");
    assert_eq!(errors_of(&control), one_error(5, "control"));
}

#[test]
fn names_with_the_same_hash_are_reported() {
    let names = ["a", "bb", "cc", "ddd", "bb"];
    let found = collisions(names.into_iter(), str::len);
    assert_eq!(found, [("cc", "bb")]);
}

#[test]
fn document_without_services_is_refused() {
    for text in ["", "\n", "; nothing\n", "[defaults]\n"] {
        let errors = parse(text).unwrap_err();
        assert_eq!(errors.len(), 1, "{text:?}");
        assert_eq!(
            errors.to_string(),
            "line 1: found no section [service NAME]; allowed: at least one"
        );
    }
}

#[test]
fn ranges_of_all_policy_keys_are_enforced() {
    for key in POLICY_KEYS {
        let mut policy = Policy::default();
        for allowed in [key.min, key.max, key.default()] {
            policy.set(key.name, &allowed.to_string()).unwrap();
            assert_eq!(key.value(&policy), allowed, "{}", key.name);
        }
        let above = (key.max + 1).to_string();
        let below = (i64::from(key.min) - 1).to_string();
        for refused in [&above, &below, "", "+1", "1.0", "x", "99999999999"] {
            let result = policy.set(key.name, refused);
            assert!(result.is_err(), "{} = {refused}", key.name);
        }
    }
}

quickcheck! {
    fn arbitrary_text_never_panics(text: String) -> bool {
        parse(&text).is_err()
    }

    fn changed_document_never_panics(at: usize, with: String) -> bool {
        let at = at % FLEET.len();
        let text = format!("{}{with}{}", &FLEET[..at], &FLEET[at + 1..]);
        match (parse(&text), parse(&text)) {
            (Ok(a), Ok(b)) => a == b,
            (Err(a), Err(b)) => a == b && !a.is_empty(),
            _ => false,
        }
    }
}

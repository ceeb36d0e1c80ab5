//! Parser of the fleet document. It validates the whole document and returns
//! either the typed fleet or all validation errors at once.

use std::collections::HashMap;
use std::collections::HashSet;

use indexmap::IndexMap;

use crate::fleet::Change;
use crate::fleet::DataCentre;
use crate::fleet::DataCentreState;
use crate::fleet::Exception;
use crate::fleet::Fleet;
use crate::fleet::Policy;
use crate::fleet::Scope;
use crate::fleet::Server;
use crate::fleet::ServerState;
use crate::fleet::Service;
pub use crate::fleet_sections::FLEET_SECTIONS;
use crate::ini;
use crate::ini::Section;
use crate::ini::quote;
use crate::key::InstanceId;
use crate::key::ServiceId;
use crate::key::Version;
use crate::policy::POLICY_KEYS;
use crate::schema;
use crate::validation::ValidationErrors;

impl Fleet {
    /// Parses a fleet document to which the platform assigned `version`.
    ///
    /// # Errors
    ///
    /// All validation errors, in order of lines. Every process finds the same
    /// errors in the same text.
    pub fn parse(version: Version, text: &str) -> Result<Fleet, ValidationErrors> {
        let (sections, mut errors) = ini::read(text);
        schema::check(&sections, FLEET_SECTIONS, &mut errors);
        check_collisions(&sections, &mut errors);
        check_addresses(&sections, &mut errors);
        check_servers(&sections, &mut errors);
        check_exceptions(&sections, &mut errors);
        let fleet = build(version, &sections);
        errors.into_result(fleet)
    }
}

/// Sections of one kind.
fn of_kind<'a>(sections: &'a [Section], kind: &'a str) -> impl Iterator<Item = &'a Section> {
    sections.iter().filter(move |s| s.kind() == kind)
}

fn names<'a>(sections: &'a [Section], kind: &'a str) -> HashSet<&'a str> {
    of_kind(sections, kind).map(Section::name).collect()
}

/// Pairs of different names with the same hash: the later name and the earlier
/// one.
pub fn collisions<'a, H>(
    names: impl Iterator<Item = &'a str>,
    hash: impl Fn(&str) -> H,
) -> Vec<(&'a str, &'a str)>
where
    H: Eq + std::hash::Hash,
{
    let mut first_names: HashMap<H, &str> = HashMap::new();
    let mut found = Vec::new();
    for name in names {
        let earlier = *first_names.entry(hash(name)).or_insert(name);
        if earlier != name {
            found.push((name, earlier));
        }
    }
    found
}

fn check_collisions(sections: &[Section], errors: &mut ValidationErrors) {
    let servers = of_kind(sections, "server").map(Section::name);
    for (name, earlier) in collisions(servers, InstanceId::of) {
        report_collision(sections, "server", name, earlier, errors);
    }
    let services = of_kind(sections, "service").map(Section::name);
    for (name, earlier) in collisions(services, ServiceId::of) {
        report_collision(sections, "service", name, earlier, errors);
    }
}

fn report_collision(
    sections: &[Section],
    kind: &str,
    name: &str,
    earlier: &str,
    errors: &mut ValidationErrors,
) {
    if let Some(section) = of_kind(sections, kind).find(|s| s.name() == name) {
        let found = format!("a name with the same hash as {}", quote(earlier));
        errors.push(section.error(found, "names whose hashes differ"));
    }
}

/// No two services and no two sockets of agents may have the same address.
fn check_addresses(sections: &[Section], errors: &mut ValidationErrors) {
    check_distinct(sections, "service", &["address"], errors);
    check_distinct(sections, "server", &["agent", "control"], errors);
}

fn check_distinct(sections: &[Section], kind: &str, keys: &[&str], errors: &mut ValidationErrors) {
    let mut first_uses = HashMap::new();
    for section in of_kind(sections, kind) {
        for key in keys {
            let Some(address) = section.value(key).and_then(schema::address) else {
                continue;
            };
            let holder = format!("{key} of [{}]", section.heading);
            if let Some(earlier) = first_uses.get(&address) {
                let found = format!("{address}, which is {earlier} too");
                errors.push(section.error_at(key, found, "an address of its own"));
            } else {
                first_uses.insert(address, holder);
            }
        }
    }
}

fn check_servers(sections: &[Section], errors: &mut ValidationErrors) {
    let services = names(sections, "service");
    let data_centres = names(sections, "data-centre");
    for server in of_kind(sections, "server") {
        check_reference(server, "service", "service", &services, errors);
        check_reference(server, "data_centre", "data-centre", &data_centres, errors);
    }
}

fn check_reference(
    section: &Section,
    key: &str,
    kind: &str,
    known: &HashSet<&str>,
    errors: &mut ValidationErrors,
) {
    let Some(name) = section.value(key).filter(|name| schema::is_name(name)) else {
        return;
    };
    if !known.contains(name) {
        let found = format!("{}, which the document does not have", quote(name));
        errors.push(section.error_at(key, found, format!("the name of a [{kind} NAME]")));
    }
}

fn check_exceptions(sections: &[Section], errors: &mut ValidationErrors) {
    let mut first_changes: HashMap<(&str, &str, &str), &Section> = HashMap::new();
    for exception in of_kind(sections, "exception") {
        check_scope(sections, exception, errors);
        let changes = exception.entries.iter().filter(|e| is_policy_key(&e.key));
        if changes.clone().next().is_none() {
            let keys: Vec<&str> = POLICY_KEYS.iter().map(|key| key.name).collect();
            let allowed = format!("at least one of {}", keys.join(", "));
            errors.push(exception.error("an exception that changes nothing", allowed));
        }
        let Some((kind, name)) = exception.value("covers").and_then(schema::scope) else {
            continue;
        };
        for change in changes {
            let earlier = *first_changes
                .entry((kind, name, &change.key))
                .or_insert(exception);
            if earlier.heading != exception.heading {
                let found = format!("a key that [{}] changes too", earlier.heading);
                let allowed = "one exception for a key of what it covers";
                errors.push(exception.error_at(&change.key, found, allowed));
            }
        }
    }
}

fn check_scope(sections: &[Section], exception: &Section, errors: &mut ValidationErrors) {
    let Some((kind, name)) = exception.value("covers").and_then(schema::scope) else {
        return;
    };
    if !names(sections, kind).contains(name) {
        let found = format!("{kind} {}, which the document does not have", quote(name));
        errors.push(exception.error_at("covers", found, format!("the name of a [{kind} NAME]")));
    }
}

fn is_policy_key(key: &str) -> bool {
    POLICY_KEYS.iter().any(|known| known.name == key)
}

/// Typed form of the sections; invalid sections and values are left out.
fn build(version: Version, sections: &[Section]) -> Fleet {
    let mut fleet = Fleet {
        version,
        ..Fleet::default()
    };
    for section in sections {
        let name = section.name().to_string();
        match section.kind() {
            "defaults" => apply_entries(&mut fleet.defaults, section),
            "data-centre" => insert(&mut fleet.data_centres, name, data_centre(section)),
            "service" => insert(&mut fleet.services, name, service(section)),
            "server" => insert(&mut fleet.servers, name, server(section)),
            "exception" => insert(&mut fleet.exceptions, name, exception(section)),
            _ => {}
        }
    }
    fleet
}

fn insert<T>(all: &mut IndexMap<String, T>, name: String, one: Option<T>) {
    if let Some(one) = one {
        all.insert(name, one);
    }
}

fn apply_entries(policy: &mut Policy, section: &Section) {
    for entry in &section.entries {
        let _ = policy.set(&entry.key, &entry.value);
    }
}

fn data_centre(section: &Section) -> Option<DataCentre> {
    Some(DataCentre {
        region: section.value("region")?.to_string(),
        state: match section.value("state") {
            Some("out") => DataCentreState::Out,
            _ => DataCentreState::In,
        },
    })
}

fn service(section: &Section) -> Option<Service> {
    Some(Service {
        address: section.value("address").and_then(schema::address)?,
    })
}

fn server(section: &Section) -> Option<Server> {
    Some(Server {
        service: section.value("service")?.to_string(),
        data_centre: section.value("data_centre")?.to_string(),
        agent: section.value("agent").and_then(schema::address)?,
        control: section.value("control").and_then(schema::address)?,
        state: match section.value("state") {
            Some("leaving") => ServerState::Leaving,
            _ => ServerState::In,
        },
    })
}

fn exception(section: &Section) -> Option<Exception> {
    let (kind, name) = section.value("covers").and_then(schema::scope)?;
    let name = name.to_string();
    let covers = match kind {
        "service" => Scope::Service(name),
        "data-centre" => Scope::DataCentre(name),
        _ => Scope::Server(name),
    };
    let changes = section
        .entries
        .iter()
        .filter(|entry| is_policy_key(&entry.key))
        .map(|entry| Change {
            key: entry.key.clone(),
            value: entry.value.clone(),
        })
        .collect();
    Some(Exception {
        covers,
        reason: section.value("reason")?.to_string(),
        changes,
    })
}

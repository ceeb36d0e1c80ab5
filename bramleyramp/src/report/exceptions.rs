//! Lists the exceptions in force: what they cover and change, and what the
//! covered requests and flows got.

use ramp_state::fleet::Change;
use ramp_state::fleet::Exception;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::Scope;
use ramp_state::fleet::Server;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::ledger::counts::ClassCounts;
use ramp_state::ledger::summary::RowKey;
use ramp_state::ledger::summary::Summary;
use ramp_state::policy::POLICY_KEYS;
use ramp_state::policy::Policy;

use crate::report::model::ChangeLine;
use crate::report::model::ExceptionLine;

/// Returns a line for each exception of `fleet`, with the counts of `summary` for
/// the backend servers that it covers.
pub fn lines(fleet: &Fleet, summary: &Summary) -> Vec<ExceptionLine> {
    fleet
        .exceptions
        .iter()
        .map(|(name, exception)| line(fleet, summary, name, exception))
        .collect()
}

fn line(fleet: &Fleet, summary: &Summary, name: &str, exception: &Exception) -> ExceptionLine {
    let covered: Vec<&str> = fleet
        .servers
        .iter()
        .filter(|(name, server)| covers(&exception.covers, name, server))
        .map(|(name, _)| name.as_str())
        .collect();
    let policies: Vec<Policy> = covered.iter().map(|name| fleet.policy(name)).collect();
    ExceptionLine {
        name: name.to_string(),
        covers: scope_text(&exception.covers),
        reason: exception.reason.clone(),
        servers: covered.len(),
        changes: exception
            .changes
            .iter()
            .filter_map(|change| change_line(fleet, change, &policies))
            .collect(),
        tally: covered_counts(summary, &exception.covers, &covered).into(),
    }
}

fn covers(scope: &Scope, name: &str, server: &Server) -> bool {
    match scope {
        Scope::Service(service) => server.service == *service,
        Scope::DataCentre(data_centre) => server.data_centre == *data_centre,
        Scope::Server(only) => name == only,
    }
}

fn scope_text(scope: &Scope) -> String {
    match scope {
        Scope::Service(name) => format!("service {name}"),
        Scope::DataCentre(name) => format!("data centre {name}"),
        Scope::Server(name) => format!("server {name}"),
    }
}

fn change_line(fleet: &Fleet, change: &Change, policies: &[Policy]) -> Option<ChangeLine> {
    let key = POLICY_KEYS.iter().find(|key| key.name == change.key)?;
    let value = key.parse(&change.value)?;
    let in_force = policies.iter().filter(|p| key.value(p) == value);
    Some(ChangeLine {
        key: change.key.clone(),
        unit: key.unit,
        default: key.value(&fleet.defaults),
        value,
        in_force_at: in_force.count(),
    })
}

fn covered_counts(summary: &Summary, scope: &Scope, covered: &[&str]) -> ClassCounts {
    let ids: Vec<InstanceId> = covered.iter().map(|name| InstanceId::of(name)).collect();
    let is_covered = |key: &RowKey| match (scope, key.server) {
        (Scope::Service(name), _) => key.service == ServiceId::of(name),
        (_, Some(id)) => ids.contains(&id),
        (_, None) => false,
    };
    let mut classes = ClassCounts::default();
    for (key, counts) in &summary.rows {
        if is_covered(key) {
            classes.merge(&counts.classes());
        }
    }
    classes
}

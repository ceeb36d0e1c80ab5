//! Resolves the ids of services and backend servers in ledgers to names, data
//! centres and policies.

use std::collections::HashMap;
use std::sync::Arc;

use ramp_protocol::operator::Status;
use ramp_state::fleet::Fleet;
use ramp_state::fleet::Scope;
use ramp_state::key::InstanceId;
use ramp_state::key::ServiceId;
use ramp_state::ledger::summary::RowKey;
use ramp_state::policy::Policy;

/// Shown as the data centre of a backend server that neither the fleet document
/// nor a process knows.
const NO_DATA_CENTRE: &str = "(not in the document)";

/// Shown as the backend server of requests and flows that reached none.
const NO_SERVER: &str = "(reached no server)";

#[derive(Clone, Debug)]
struct KnownServer {
    name: String,
    data_centre: String,
    policy: Arc<Policy>,
}

/// Names, data centres and policies by id.
#[derive(Debug, Default)]
pub struct Names {
    services: HashMap<ServiceId, (String, Arc<Policy>)>,
    servers: HashMap<InstanceId, KnownServer>,
}

impl Names {
    /// Adds the names that a process reports for itself and its members. They
    /// are needed for servers that the fleet document no longer has.
    pub fn add_status(&mut self, status: &Status) {
        self.add_reported_server(&status.name, &status.data_centre);
        for service in &status.services {
            let id = ServiceId::of(&service.name);
            self.services
                .entry(id)
                .or_insert_with(|| (service.name.clone(), Arc::default()));
            for member in &service.members {
                self.add_reported_server(&member.name, &member.data_centre);
            }
        }
    }

    /// Adds the names and policies of the fleet document, which take precedence
    /// over names that processes report.
    pub fn add_fleet(&mut self, fleet: &Fleet) {
        for name in fleet.services.keys() {
            let service = (name.clone(), Arc::new(service_policy(fleet, name)));
            self.services.insert(ServiceId::of(name), service);
        }
        for (name, server) in &fleet.servers {
            let known = KnownServer {
                name: name.clone(),
                data_centre: server.data_centre.clone(),
                policy: Arc::new(fleet.policy(name)),
            };
            self.servers.insert(InstanceId::of(name), known);
        }
    }

    /// Name of a service, or a placeholder with its id if it is unknown.
    pub fn service(&self, id: ServiceId) -> String {
        match self.services.get(&id) {
            Some((name, _)) => name.clone(),
            None => format!("(unknown {:08x})", id.0 >> 32),
        }
    }

    /// Name of a row's backend server, or a placeholder.
    pub fn server(&self, key: &RowKey) -> String {
        let Some(id) = key.server else {
            return format!("{} {NO_SERVER}", self.service(key.service));
        };
        match self.servers.get(&id) {
            Some(known) => known.name.clone(),
            None => format!("(unknown {:08x})", id.0 >> 32),
        }
    }

    /// Name of a row's data centre, or a placeholder.
    pub fn data_centre(&self, key: &RowKey) -> String {
        let Some(id) = key.server else {
            return NO_SERVER.to_string();
        };
        match self.servers.get(&id) {
            Some(known) => known.data_centre.clone(),
            None => NO_DATA_CENTRE.to_string(),
        }
    }

    /// Policy that applies to a row: that of its server, or else of its service.
    pub fn policy(&self, key: &RowKey) -> Arc<Policy> {
        let server = key.server.and_then(|id| self.servers.get(&id));
        if let Some(known) = server {
            return Arc::clone(&known.policy);
        }
        match self.services.get(&key.service) {
            Some((_, policy)) => Arc::clone(policy),
            None => Arc::default(),
        }
    }

    fn add_reported_server(&mut self, name: &str, data_centre: &str) {
        let id = InstanceId::of(name);
        self.servers.entry(id).or_insert_with(|| KnownServer {
            name: name.to_string(),
            data_centre: data_centre.to_string(),
            policy: Arc::default(),
        });
    }
}

/// Default policy with the exceptions that cover the whole service.
fn service_policy(fleet: &Fleet, name: &str) -> Policy {
    let mut policy = fleet.defaults.clone();
    let scope = Scope::Service(name.to_string());
    let exceptions = fleet.exceptions.values().filter(|e| e.covers == scope);
    for change in exceptions.flat_map(|e| &e.changes) {
        // Can't fail: a parsed document has only valid values.
        let _ = policy.set(&change.key, &change.value);
    }
    policy
}

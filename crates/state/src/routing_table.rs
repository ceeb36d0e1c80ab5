//! The fleet compiled for look-ups: one group of members per service address.
//!
//! A view is immutable. Control state builds a new one when the
//! configuration or the set of usable members changes and hands it to the
//! traffic threads whole.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::fleet::DataCentreState;
use crate::fleet::Fleet;
use crate::fleet::Policy;
use crate::fleet::ServerState;
use crate::key::InstanceId;
use crate::key::ServiceId;
use crate::key::Version;
use crate::key::mix;

/// One agent of a group, with all that routing needs of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Identity of the agent's instance.
    pub id: InstanceId,
    /// Name of its backend server.
    pub name: Arc<str>,
    /// Name of its data centre.
    pub data_centre: Arc<str>,
    /// Where it takes packets and requests of other agents.
    pub agent: SocketAddrV4,
    /// Where it takes control messages.
    pub control: SocketAddrV4,
    /// Whether its data centre takes traffic. If not, nothing is sent there.
    pub reachable: bool,
    /// Whether it takes new flows and requests.
    pub state: ServerState,
    /// Whether it is believed alive.
    pub alive: bool,
    /// Settings that apply to its backend server.
    pub policy: Arc<Policy>,
}

impl Member {
    /// Whether it can be the home of flows.
    pub fn can_be_home(&self) -> bool {
        self.reachable && self.alive
    }

    /// Whether it may be given new work.
    pub fn accepts_new_work(&self) -> bool {
        self.can_be_home() && self.state == ServerState::In
    }
}

/// The agents of one service, in order of identity.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Identity of the service.
    pub service: ServiceId,
    /// Name of the service.
    pub name: Arc<str>,
    /// Address that callers connect to.
    pub address: SocketAddrV4,
    /// Members in order of identity.
    pub members: Vec<Member>,
}

impl Group {
    /// Compiles the group of the service `name` alone, all members believed
    /// alive. None when `fleet` has no such service.
    pub fn compile(fleet: &Fleet, name: &str) -> Option<Group> {
        fleet
            .services
            .contains_key(name)
            .then(|| group(fleet, name, &HashSet::new()))
    }

    /// The same group, with exactly the members in `dead` not believed alive.
    pub fn with_dead(&self, dead: &HashSet<InstanceId>) -> Group {
        let mut group = self.clone();
        for member in &mut group.members {
            member.alive = !dead.contains(&member.id);
        }
        group
    }

    /// Member with this identity.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        let at = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&self.members[at])
    }

    /// Home of the flow with this hash: the highest score among usable members.
    pub fn home(&self, hash: u64) -> Option<&Member> {
        self.members
            .iter()
            .filter(|m| m.can_be_home())
            .max_by_key(|m| mix(hash ^ m.id.0))
    }
}

/// No member of a group can be the home of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoHome;

/// All groups of one configuration version, by service address.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// Version of the configuration that it was compiled from.
    pub version: Version,
    groups: HashMap<SocketAddrV4, Entry, BuildHasherDefault<AddressHasher>>,
}

/// A group and, packed for the look-up of each packet, who can be a home.
#[derive(Clone, Debug)]
struct Entry {
    group: Arc<Group>,
    homes: Box<[Home]>,
}

/// A member that can be the home of flows.
#[derive(Clone, Copy, Debug)]
struct Home {
    id: u64,
    /// Place among the group's members.
    at: usize,
}

impl RoutingTable {
    /// Compiles `fleet`; members in `dead` are not believed alive.
    pub fn compile(fleet: &Fleet, dead: &HashSet<InstanceId>) -> RoutingTable {
        let groups = fleet
            .services
            .iter()
            .map(|(name, service)| {
                (
                    service.address,
                    Entry::of(Arc::new(group(fleet, name, dead))),
                )
            })
            .collect();
        RoutingTable {
            version: fleet.version,
            groups,
        }
    }

    /// The same view with `group` in place of the one at its address.
    pub fn with_group(&self, group: Arc<Group>) -> RoutingTable {
        let mut view = self.clone();
        view.groups.insert(group.address, Entry::of(group));
        view
    }

    /// Group that serves `address`.
    pub fn group(&self, address: SocketAddrV4) -> Option<&Arc<Group>> {
        self.groups.get(&address).map(|entry| &entry.group)
    }

    /// Home of the flow with this hash at the service at `address`, as
    /// [`Group::home`] has it; none when the service is unknown.
    pub fn home(&self, address: SocketAddrV4, hash: u64) -> Option<Result<&Member, NoHome>> {
        let entry = self.groups.get(&address)?;
        let home = entry.homes.iter().max_by_key(|home| mix(hash ^ home.id));
        Some(match home {
            Some(home) => Ok(&entry.group.members[home.at]),
            None => Err(NoHome),
        })
    }

    /// All groups, in no particular order.
    pub fn groups(&self) -> impl Iterator<Item = &Arc<Group>> {
        self.groups.values().map(|entry| &entry.group)
    }
}

impl Entry {
    fn of(group: Arc<Group>) -> Entry {
        let members = group.members.iter().enumerate();
        let homes = members
            .filter(|(_, m)| m.can_be_home())
            .map(|(at, m)| Home { id: m.id.0, at })
            .collect();
        Entry { group, homes }
    }
}

fn group(fleet: &Fleet, name: &str, dead: &HashSet<InstanceId>) -> Group {
    let mut members: Vec<Member> = fleet
        .servers
        .iter()
        .filter(|(_, server)| server.service == name)
        .map(|(server, _)| member(fleet, server, dead))
        .collect();
    members.sort_by_key(|m| m.id);
    Group {
        service: ServiceId::of(name),
        name: Arc::from(name),
        address: fleet.services[name].address,
        members,
    }
}

fn member(fleet: &Fleet, name: &str, dead: &HashSet<InstanceId>) -> Member {
    let server = &fleet.servers[name];
    let id = InstanceId::of(name);
    let reachable = fleet
        .data_centres
        .get(&server.data_centre)
        .is_some_and(|dc| dc.state == DataCentreState::In);
    Member {
        id,
        name: Arc::from(name),
        data_centre: Arc::from(server.data_centre.as_str()),
        agent: server.agent,
        control: server.control,
        reachable,
        state: server.state,
        alive: !dead.contains(&id),
        policy: Arc::new(fleet.policy(name)),
    }
}

/// Hasher for service addresses: they come from the configuration, not from
/// callers, so a fast mix is enough.
#[derive(Default)]
pub struct AddressHasher(u64);

impl Hasher for AddressHasher {
    fn write(&mut self, bytes: &[u8]) {
        for b in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*b);
        }
    }

    fn write_u16(&mut self, x: u16) {
        self.0 = self.0.rotate_left(16) ^ u64::from(x);
    }

    fn write_u32(&mut self, x: u32) {
        self.0 = self.0.rotate_left(32) ^ u64::from(x);
    }

    fn finish(&self) -> u64 {
        mix(self.0)
    }
}

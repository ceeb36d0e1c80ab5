//! Routing table: for each service address, the agents of the service and their
//! state, compiled from the fleet document.
//!
//! A routing table is immutable. The control code builds a new one when the
//! configuration or the set of live members changes, and the traffic threads
//! replace the old one as a whole.
//!
//! The home of a flow is the member that rendezvous hashing of the flow's key
//! selects.

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

/// One agent of a group, with the data that routing needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Identifier of the agent's instance.
    pub id: InstanceId,
    /// Name of its backend server.
    pub name: Arc<str>,
    /// Name of its data centre.
    pub data_centre: Arc<str>,
    /// Address at which it receives packets and forwarded requests.
    pub agent: SocketAddrV4,
    /// Address at which it receives control messages.
    pub control: SocketAddrV4,
    /// Whether its data centre is in service. If not, nothing is sent to it.
    pub reachable: bool,
    /// Whether operators allow new flows and requests there.
    pub state: ServerState,
    /// Whether it is considered alive.
    pub alive: bool,
    /// Limits, timeouts and objectives of its backend server.
    pub policy: Arc<Policy>,
}

impl Member {
    /// Whether rendezvous hashing may select it as the home of a flow.
    pub fn can_be_home(&self) -> bool {
        self.reachable && self.alive
    }

    /// Whether it may get new flows and requests.
    pub fn accepts_new_work(&self) -> bool {
        self.can_be_home() && self.state == ServerState::In
    }
}

/// The agents of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Identifier of the service.
    pub service: ServiceId,
    /// Name of the service.
    pub name: Arc<str>,
    /// Virtual address of the service, which callers connect to.
    pub address: SocketAddrV4,
    /// Members, sorted by identifier.
    pub members: Vec<Member>,
}

impl Group {
    /// Compiles the group of the service `name`, with all members alive; `None`
    /// when `fleet` has no such service.
    pub fn compile(fleet: &Fleet, name: &str) -> Option<Group> {
        fleet
            .services
            .contains_key(name)
            .then(|| group(fleet, name, &HashSet::new()))
    }

    /// Copy of the group in which exactly the members in `dead` are not alive.
    pub fn with_dead(&self, dead: &HashSet<InstanceId>) -> Group {
        let mut group = self.clone();
        for member in &mut group.members {
            member.alive = !dead.contains(&member.id);
        }
        group
    }

    /// Member with this identifier.
    pub fn member(&self, id: InstanceId) -> Option<&Member> {
        let index = self.members.binary_search_by_key(&id, |m| m.id).ok()?;
        Some(&self.members[index])
    }

    /// Home of the flow with this hash: the eligible member with the highest
    /// rendezvous score.
    pub fn home(&self, hash: u64) -> Option<&Member> {
        self.members
            .iter()
            .filter(|m| m.can_be_home())
            .max_by_key(|m| mix(hash ^ m.id.0))
    }
}

/// Error: no member of the group can be the home of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoHome;

/// All groups of one configuration version, by service address.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// Version of the fleet document that it was compiled from.
    pub version: Version,
    groups: HashMap<SocketAddrV4, Entry, BuildHasherDefault<AddressHasher>>,
}

/// A group and the members that can be homes, packed for the lookup that each
/// packet needs.
#[derive(Clone, Debug)]
struct Entry {
    group: Arc<Group>,
    homes: Box<[Home]>,
}

/// A member that can be the home of flows.
#[derive(Clone, Copy, Debug)]
struct Home {
    id: u64,
    /// Index into the group's members.
    index: usize,
}

impl RoutingTable {
    /// Compiles `fleet`; members in `dead` are not alive.
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

    /// Copy of the table with `group` in place of the one at its address.
    pub fn with_group(&self, group: Arc<Group>) -> RoutingTable {
        let mut table = self.clone();
        table.groups.insert(group.address, Entry::of(group));
        table
    }

    /// Group of the service at `address`.
    pub fn group(&self, address: SocketAddrV4) -> Option<&Arc<Group>> {
        self.groups.get(&address).map(|entry| &entry.group)
    }

    /// Home of the flow with this hash at the service at `address`, the same as
    /// [`Group::home`]; `None` when no service has this address.
    pub fn home(&self, address: SocketAddrV4, hash: u64) -> Option<Result<&Member, NoHome>> {
        let entry = self.groups.get(&address)?;
        let home = entry.homes.iter().max_by_key(|home| mix(hash ^ home.id));
        Some(match home {
            Some(home) => Ok(&entry.group.members[home.index]),
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
            .map(|(index, m)| Home { id: m.id.0, index })
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

/// Fast hasher for service addresses. They come from the configuration and not
/// from callers, so it needs no protection against chosen collisions.
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

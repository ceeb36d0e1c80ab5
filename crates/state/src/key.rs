//! Identifiers of instances, services, servers, data centres and flows.
//!
//! Identifiers of named things are hashes of their names, so that all processes
//! compute the same ones independently.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

/// SipHash key of the name hash. It is public: the hash distributes names and is
/// no protection against forged ones.
const NAME_HASH_KEY: (u64, u64) = (0x6272_616d_6c65_7900, 0x7261_6d70_0000_0001);

/// Length of the secret key that all processes of the fleet share, in bytes.
pub const FLEET_KEY_LEN_BYTES: usize = 16;

/// Version of the fleet document, assigned by the platform; never decreases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// Number of a process start: each later start of the same instance has a higher
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Identifier of an instance of the load balancer: a hash of its name, the same
/// after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub u64);

/// Identifier of a service: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(pub u64);

/// Identifier of a backend server: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub u64);

/// Identifier of a data centre: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DataCentreId(pub u64);

impl ServerId {
    /// Identifier of the backend server called `name`.
    pub fn of(name: &str) -> ServerId {
        ServerId(hash_name(name))
    }
}

impl DataCentreId {
    /// Identifier of the data centre called `name`.
    pub fn of(name: &str) -> DataCentreId {
        DataCentreId(hash_name(name))
    }
}

impl InstanceId {
    /// Identifier of the instance called `name`.
    pub fn of(name: &str) -> InstanceId {
        InstanceId(hash_name(name))
    }
}

impl ServiceId {
    /// Identifier of the service called `name`.
    pub fn of(name: &str) -> ServiceId {
        ServiceId(hash_name(name))
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Key of a flow (a TCP connection): the addresses and ports of both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Hash of the key; every process computes the same value.
    pub fn hash64(&self) -> u64 {
        let caller = u64::from(u32::from(*self.caller.ip())) << 16 | u64::from(self.caller.port());
        let service =
            u64::from(u32::from(*self.service.ip())) << 16 | u64::from(self.service.port());
        mix(mix(caller) ^ service)
    }
}

/// Mixes the bits of `x` (one step of SplitMix64).
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn hash_name(name: &str) -> u64 {
    let mut h = SipHasher13::new_with_keys(NAME_HASH_KEY.0, NAME_HASH_KEY.1);
    h.write(name.as_bytes());
    h.finish()
}

//! Selects the process from which this one gets the platform's records, so
//! that only a few processes read the platform itself.
//!
//! A few processes are named as the readers, to every process alike. All
//! others follow one reader, and read the platform directly once no reader can
//! be reached or none is current, so that no process depends on the readers. A
//! reader follows another one only while the platform refuses it. Only answers
//! of the platform itself make a reader current, so readers that follow each
//! other do not keep each other current.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;

/// How long a reader that failed is not tried again.
const FAILED_BACKOFF: Duration = Duration::from_millis(1500);

/// How long a reader that is not ready, as at its start, is not tried again.
const NOT_READY_BACKOFF: Duration = Duration::from_millis(100);

/// How long a reader follows another one before it tries the platform again
/// itself.
const READER_FOLLOW_LIMIT: Duration = Duration::from_secs(2);

/// A reader that may be followed.
#[derive(Clone, Copy, Debug)]
struct Reader {
    address: SocketAddrV4,
    retry_at: Millis,
    /// Whether it could not be followed when it was tried last.
    failed: bool,
}

/// The readers that one process may follow, in its order of preference.
#[derive(Clone, Debug)]
pub struct Readers {
    readers: Vec<Reader>,
    is_reader: bool,
}

impl Readers {
    /// Readers that process `me` may follow: `addresses` without its own
    /// address, `own`. Processes order them differently, so that the followers
    /// are spread over the readers.
    pub fn new(me: InstanceId, own: Option<SocketAddrV4>, addresses: &[SocketAddrV4]) -> Readers {
        let is_reader = own.is_some_and(|own| addresses.contains(&own));
        let others = addresses.iter().filter(|address| own != Some(**address));
        let mut readers: Vec<Reader> = others
            .map(|address| Reader {
                address: *address,
                retry_at: Millis(0),
                failed: false,
            })
            .collect();
        readers.sort_by_key(|r| mix(me.0 ^ u64::from(u32::from(*r.address.ip()))));
        Readers { readers, is_reader }
    }

    /// Whether this process is one of the readers.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// The reader to follow now; none: read the platform directly.
    /// `platform_failed` says whether this process could not read the platform
    /// when it last tried.
    pub fn pick(&self, now: Millis, platform_failed: bool) -> Option<SocketAddrV4> {
        if self.is_reader && !platform_failed {
            return None;
        }
        let reader = self.readers.iter().find(|r| now >= r.retry_at)?;
        Some(reader.address)
    }

    /// How long this process may follow a reader before it tries the platform
    /// again; none: no limit, since it is not a reader itself.
    pub fn follow_limit(&self) -> Option<Duration> {
        self.is_reader.then_some(READER_FOLLOW_LIMIT)
    }

    /// Records that following a reader has succeeded.
    pub fn followed(&mut self, address: SocketAddrV4) {
        for reader in self.readers.iter_mut().filter(|r| r.address == address) {
            reader.failed = false;
        }
    }

    /// Records that following a reader has failed. Once all have failed, all
    /// are backed off together: each attempt may take so long that the first
    /// reader's backoff is over by then, and the platform must be read before
    /// any reader is tried again.
    pub fn failed(&mut self, address: SocketAddrV4, now: Millis) {
        for reader in self.readers.iter_mut().filter(|r| r.address == address) {
            reader.retry_at = now + FAILED_BACKOFF;
            reader.failed = true;
        }
        if self.readers.iter().all(|r| r.failed) {
            self.back_off_all(now);
        }
    }

    /// Records that a reader can't be followed yet, as it may be starting.
    pub fn not_ready(&mut self, address: SocketAddrV4, now: Millis) {
        for reader in self.readers.iter_mut().filter(|r| r.address == address) {
            reader.retry_at = now + NOT_READY_BACKOFF;
        }
    }

    fn back_off_all(&mut self, now: Millis) {
        for reader in &mut self.readers {
            reader.retry_at = now + FAILED_BACKOFF;
            reader.failed = false;
        }
    }
}

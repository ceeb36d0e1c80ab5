//! Whom a process follows, so that only a few read the platform themselves.
//!
//! A few processes are named to all as the readers. Everyone else follows one
//! of them, and reads the platform directly as soon as none of them is heard
//! or none is current: each process's own way to the platform is enough. A
//! reader follows another one only while the platform refuses it. Only what
//! the platform itself has answered makes a reader current, so nobody keeps
//! following in a circle.

use std::net::SocketAddrV4;
use std::time::Duration;

use ramp_state::key::InstanceId;
use ramp_state::key::mix;
use ramp_state::time::Millis;

/// How long a reader that failed is passed over.
const FAILED_FOR: Duration = Duration::from_millis(1500);

/// How long a reader that may be starting is passed over.
const MISSED_FOR: Duration = Duration::from_millis(100);

/// How long a reader follows another one before it tries the platform again.
const READER_FOLLOWS: Duration = Duration::from_secs(2);

/// A reader that may be followed.
#[derive(Clone, Copy, Debug)]
struct Feed {
    address: SocketAddrV4,
    again_at: Millis,
    /// Whether it could not be followed when it was tried last.
    lost: bool,
}

/// The readers as one process sees them.
#[derive(Clone, Debug)]
pub struct Readers {
    feeds: Vec<Feed>,
    reader: bool,
}

impl Readers {
    /// Readers known to the process `me`, which is itself reached at `own`.
    /// Each process prefers another one, so that they share the followers.
    pub fn new(me: InstanceId, own: Option<SocketAddrV4>, readers: &[SocketAddrV4]) -> Readers {
        let reader = own.is_some_and(|own| readers.contains(&own));
        let others = readers.iter().filter(|address| own != Some(**address));
        let mut feeds: Vec<Feed> = others
            .map(|address| Feed {
                address: *address,
                again_at: Millis(0),
                lost: false,
            })
            .collect();
        feeds.sort_by_key(|f| mix(me.0 ^ u64::from(u32::from(*f.address.ip()))));
        Readers { feeds, reader }
    }

    /// Whether this process reads for others.
    pub fn is_reader(&self) -> bool {
        self.reader
    }

    /// The reader to follow now; none: read the platform directly. `away`:
    /// whether the platform has failed this process.
    pub fn pick(&self, now: Millis, away: bool) -> Option<SocketAddrV4> {
        if self.reader && !away {
            return None;
        }
        let feed = self.feeds.iter().find(|f| now >= f.again_at)?;
        Some(feed.address)
    }

    /// How long a reader is followed before the platform itself is tried again.
    pub fn follow_limit(&self) -> Option<Duration> {
        self.reader.then_some(READER_FOLLOWS)
    }

    /// Takes note that a reader is followed.
    pub fn followed(&mut self, address: SocketAddrV4) {
        for feed in self.feeds.iter_mut().filter(|f| f.address == address) {
            feed.lost = false;
        }
    }

    /// Takes note that a reader can't be followed now. When all are lost, the
    /// platform is read before any of them is tried again, however long it
    /// took to find out.
    pub fn failed(&mut self, address: SocketAddrV4, now: Millis) {
        for feed in self.feeds.iter_mut().filter(|f| f.address == address) {
            feed.again_at = now + FAILED_FOR;
            feed.lost = true;
        }
        if self.feeds.iter().all(|f| f.lost) {
            self.pass_over_all(now);
        }
    }

    /// Takes note that a reader can't be followed yet: it may be starting.
    pub fn not_ready(&mut self, address: SocketAddrV4, now: Millis) {
        for feed in self.feeds.iter_mut().filter(|f| f.address == address) {
            feed.again_at = now + MISSED_FOR;
        }
    }

    fn pass_over_all(&mut self, now: Millis) {
        for feed in &mut self.feeds {
            feed.again_at = now + FAILED_FOR;
            feed.lost = false;
        }
    }
}

//! Rate of an instance's network link, and what follows from it.

use std::time::Duration;

/// Rate below which a link is narrow: searches and bulk data can then fill it.
const NARROW_BELOW_BITS_PER_S: u64 = 100_000_000;

/// Highest rate that is accepted as a setting.
const MAX_BITS_PER_S: f64 = 1e12;

/// IP and UDP header of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: usize = 28;

const BITS_PER_BYTE: u64 = 8;
const BITS_PER_MEGABIT: f64 = 1e6;
const NANOS_PER_S: u128 = 1_000_000_000;

/// Rate of a link in each direction, in bits a second; never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkRate(u64);

impl LinkRate {
    /// The rate for a setting in megabits a second; none if it is not a number, not
    /// positive, or out of range.
    pub fn from_megabits(megabits_per_s: f64) -> Option<LinkRate> {
        let bits_per_s = megabits_per_s * BITS_PER_MEGABIT;
        let valid = (1.0..=MAX_BITS_PER_S).contains(&bits_per_s);
        valid.then_some(LinkRate(bits_per_s as u64))
    }

    /// Bits a second.
    pub fn bits_per_s(self) -> u64 {
        self.0
    }

    /// Whether searches and bulk data can fill the link, so that they are limited.
    pub fn is_narrow(self) -> bool {
        self.0 < NARROW_BELOW_BITS_PER_S
    }

    /// This part of the rate; at least one bit a second.
    pub fn percent(self, percent: u64) -> LinkRate {
        LinkRate((self.0 * percent / 100).max(1))
    }

    /// Time that the link needs for a datagram with this payload, in bytes.
    pub fn datagram_time(self, payload_bytes: usize) -> Duration {
        let bits = (payload_bytes + DATAGRAM_HEADER_BYTES) as u128 * u128::from(BITS_PER_BYTE);
        let nanos = bits * NANOS_PER_S / u128::from(self.0);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}

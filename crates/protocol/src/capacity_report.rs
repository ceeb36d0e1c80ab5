//! What an agent has learned about the capacity of its server.
//!
//! The report follows the header of `Owned`, `Queued` and `Heartbeat` frames.
//! Receivers of older builds ignore what follows the header of these frames.

use std::time::Duration;

use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::byteorder::network_endian::U16;

use crate::frame::FrameKind;

/// Length of a report on the wire, in bytes.
pub const CAPACITY_REPORT_LEN_BYTES: usize = size_of::<RawReport>();

/// Unit of the age on the wire, in milliseconds.
const AGE_UNIT_MS: u128 = 100;

/// Estimated capacity of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityReport {
    /// Concurrent requests up to which response times remain stable; at least one.
    pub limit: u16,
    /// Mean time of a request while the limit is not exceeded, in whole
    /// milliseconds.
    pub request_time: Duration,
    /// Time since the newest observation behind the estimate, in steps of 100 ms.
    pub age: Duration,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct RawReport {
    limit: U16,
    request_ms: U16,
    age_ds: U16,
}

/// Whether frames of this kind carry a report.
pub fn carries_capacity_report(kind: FrameKind) -> bool {
    matches!(
        kind,
        FrameKind::Owned | FrameKind::Queued | FrameKind::Heartbeat
    )
}

/// Bytes of a report; a limit of zero says that nothing is known.
pub fn write_capacity_report(report: Option<CapacityReport>) -> [u8; CAPACITY_REPORT_LEN_BYTES] {
    let (limit, request_ms, age_ds) = report.map_or((0, 0, 0), |report| {
        let age_ds = report.age.as_millis() / AGE_UNIT_MS;
        (report.limit, report.request_time.as_millis(), age_ds)
    });
    let raw = RawReport {
        limit: U16::new(limit),
        request_ms: U16::new(saturate(request_ms)),
        age_ds: U16::new(saturate(age_ds)),
    };
    zerocopy::transmute!(raw)
}

/// Reads what follows the header of a frame; none if the agent knows nothing or
/// its build sends no report.
pub fn read_capacity_report(body: &[u8]) -> Option<CapacityReport> {
    let (raw, _) = RawReport::ref_from_prefix(body).ok()?;
    let known = raw.limit.get() > 0 && raw.request_ms.get() > 0;
    known.then(|| CapacityReport {
        limit: raw.limit.get(),
        request_time: Duration::from_millis(u64::from(raw.request_ms.get())),
        age: Duration::from_millis(u64::from(raw.age_ds.get()) * AGE_UNIT_MS as u64),
    })
}

fn saturate(value: u128) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

//! Moving average of the time that a backend server takes for a request.

use std::time::Duration;

/// Weight of the newest request is one part in this many.
const SAMPLES: u32 = 16;

/// Exponentially weighted mean; zero before the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeanTime(Option<Duration>);

impl MeanTime {
    pub(super) fn record(&mut self, sample: Duration) {
        let mean = self
            .0
            .map_or(sample, |mean| (mean * (SAMPLES - 1) + sample) / SAMPLES);
        self.0 = Some(mean);
    }

    pub(super) fn get(&self) -> Duration {
        self.0.unwrap_or_default()
    }
}

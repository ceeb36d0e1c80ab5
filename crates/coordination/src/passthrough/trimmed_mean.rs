//! Weighted trimmed mean, which a few extreme values do not move.

/// Share of the weight that is left out on each side.
const TRIMMED_SHARE: f64 = 0.25;

/// A value and its weight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weighted {
    pub(super) value: f64,
    pub(super) weight: f64,
}

/// Mean of the middle half of the values.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrimmedMean {
    pub(super) mean: f64,
    /// Standard error, by the winsorised deviation of the values.
    pub(super) standard_error: f64,
}

impl TrimmedMean {
    /// Mean of at least one value.
    pub(super) fn of(mut values: Vec<Weighted>) -> TrimmedMean {
        values.sort_by(|a, b| a.value.total_cmp(&b.value));
        let total: f64 = values.iter().map(|v| v.weight).sum();
        let (from, until) = (total * TRIMMED_SHARE, total * (1.0 - TRIMMED_SHARE));
        let (mut before, mut sum, mut kept) = (0.0, 0.0, 0.0);
        let (mut lowest, mut highest) = (None, 0.0);
        for v in &values {
            let after = before + v.weight;
            let weight = (after.min(until) - f64::max(before, from)).max(0.0);
            before = after;
            if weight > 0.0 {
                sum += weight * v.value;
                kept += weight;
                lowest.get_or_insert(v.value);
                highest = v.value;
            }
        }
        let mean = if kept > 0.0 { sum / kept } else { 0.0 };
        let variance = winsorised_variance(&values, lowest.unwrap_or(mean), highest);
        let squares: f64 = values.iter().map(|v| v.weight * v.weight).sum();
        let count = total * total / squares.max(f64::MIN_POSITIVE);
        TrimmedMean {
            mean,
            standard_error: (variance / count.max(1.0)).sqrt() / (1.0 - 2.0 * TRIMMED_SHARE),
        }
    }
}

/// Variance of the values after those outside the bounds are moved to them.
fn winsorised_variance(values: &[Weighted], lowest: f64, highest: f64) -> f64 {
    let total: f64 = values.iter().map(|v| v.weight).sum();
    let clipped = |v: &Weighted| v.value.max(lowest).min(highest);
    let mean = values.iter().map(|v| v.weight * clipped(v)).sum::<f64>() / total;
    let deviation = |v: &Weighted| v.weight * (clipped(v) - mean).powi(2);
    values.iter().map(deviation).sum::<f64>() / total
}

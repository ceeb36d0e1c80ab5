//! Human-readable formats of counts, durations, percentages and long lists.

use std::fmt::Display;
use std::mem;
use std::mem::Discriminant;

use indexmap::IndexMap;

/// Maximum number of items of one enum variant that a list shows.
const MAX_ITEMS_PER_KIND: usize = 5;

/// Formats `items` (values of an enum), grouped by variant: of each variant the
/// first [`MAX_ITEMS_PER_KIND`], and the number of the others.
pub fn first_of_each_kind<T: Display>(items: &[T]) -> Vec<String> {
    let mut kinds: IndexMap<Discriminant<T>, Vec<&T>> = IndexMap::new();
    for item in items {
        kinds.entry(mem::discriminant(item)).or_default().push(item);
    }
    let mut lines = Vec::new();
    for items in kinds.values() {
        lines.extend(
            items
                .iter()
                .take(MAX_ITEMS_PER_KIND)
                .map(ToString::to_string),
        );
        let others = items.len().saturating_sub(MAX_ITEMS_PER_KIND);
        if others > 0 {
            lines.push(format!("and {others} more like these (--json has all)"));
        }
    }
    lines
}

/// Formats a duration in the largest unit of which it is at least one, such as
/// `1.5 h`.
pub fn format_duration_ms(ms: u64) -> String {
    const SECOND: u64 = 1_000;
    const MINUTE: u64 = 60 * SECOND;
    const HOUR: u64 = 60 * MINUTE;
    const DAY: u64 = 24 * HOUR;
    match ms {
        0..SECOND => format!("{ms} ms"),
        SECOND..MINUTE => format_one_decimal(ms, SECOND, "s"),
        MINUTE..HOUR => format_one_decimal(ms, MINUTE, "min"),
        HOUR..DAY => format_one_decimal(ms, HOUR, "h"),
        _ => format_one_decimal(ms, DAY, "d"),
    }
}

/// Formats a count in groups of three digits, such as `1,234`.
pub fn format_count(n: u64) -> String {
    let digits = n.to_string();
    let mut text = String::new();
    for (i, digit) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Formats a fraction as a percentage, such as `12.5%`.
pub fn format_percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn format_one_decimal(ms: u64, unit: u64, name: &str) -> String {
    let tenths = ms * 10 / unit;
    match tenths % 10 {
        0 => format!("{} {name}", tenths / 10),
        rest => format!("{}.{rest} {name}", tenths / 10),
    }
}

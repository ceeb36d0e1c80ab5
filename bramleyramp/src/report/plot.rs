//! Draws the plots of the report, each as an SVG image.

use std::io;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::human_format::format_duration_ms;
use crate::report::model::AnswerBucket;
use crate::report::model::GroupLine;
use crate::report::model::Report;
use crate::report::model::Tally;

const WIDTH_PX: u32 = 900;
const HEIGHT_PX: u32 = 300;

/// Height of the row of one backend server.
const BAR_HEIGHT_PX: u32 = 24;
/// Height of the servers' plot apart from its rows.
const SERVERS_FRAME_HEIGHT_PX: u32 = 90;

/// Maximum number of backend servers in a plot; the table lists all.
const MAX_SERVERS_SHOWN: usize = 40;

const MARGIN_PX: u32 = 12;
const Y_AXIS_WIDTH_PX: u32 = 60;
const X_AXIS_HEIGHT_PX: u32 = 45;
const NAME_AXIS_WIDTH_PX: u32 = 170;

/// Space above and below a bar.
const BAR_GAP_PX: u32 = 4;

/// Length of a value axis relative to the longest bar; the legend needs the room.
const AXIS_HEADROOM_FACTOR: f64 = 1.35;

/// Minimum window that has a time axis in hours rather than minutes.
const MIN_HOURS_WINDOW_MS: f64 = 3.0 * HOUR_MS;
const MINUTE_MS: f64 = 60_000.0;
const HOUR_MS: f64 = 60.0 * MINUTE_MS;

const BLUE_GREY: RGBColor = RGBColor(69, 90, 100);

/// Result of drawing into a string.
type DrawResult = Result<(), DrawingAreaErrorKind<io::Error>>;

/// Drawing area of one image.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Legend, color and value of one stacked series.
struct Series {
    name: &'static str,
    color: RGBColor,
    count: fn(&Tally) -> u64,
}

/// Series in stacking order, bottom first.
const SERIES: [Series; 3] = [
    Series {
        name: "served",
        color: RGBColor(76, 145, 80),
        count: |t| t.served,
    },
    Series {
        name: "refused (not run)",
        color: RGBColor(239, 155, 15),
        count: |t| t.not_run,
    },
    Series {
        name: "cut (may have run)",
        color: RGBColor(198, 40, 40),
        count: |t| t.may_have_run,
    },
];

/// Plots served, refused and cut requests by time.
pub fn requests_by_time(report: &Report) -> String {
    render_svg(HEIGHT_PX, |area| draw_by_time(area, report, &SERIES))
}

/// Plots refused and cut requests by time, on a scale of their own because they
/// are usually too few to be visible beside the served ones.
pub fn failures_by_time(report: &Report) -> String {
    render_svg(HEIGHT_PX, |area| draw_by_time(area, report, &SERIES[1..]))
}

/// Plots the histogram of the answer times of served requests.
pub fn answer_times(report: &Report) -> String {
    render_svg(HEIGHT_PX, |area| {
        draw_answer_times(area, &report.answer_times)
    })
}

/// Plots served, refused and cut requests by backend server.
pub fn servers(report: &Report) -> String {
    let shown = &report.servers[..report.servers.len().min(MAX_SERVERS_SHOWN)];
    let height = BAR_HEIGHT_PX * shown.len() as u32 + SERVERS_FRAME_HEIGHT_PX;
    render_svg(height, |area| draw_servers(area, shown))
}

fn render_svg(height: u32, draw: impl Fn(&Area<'_>) -> DrawResult) -> String {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, height)).into_drawing_area();
        let drawn = draw(&area).and_then(|()| area.present());
        if let Err(err) = drawn {
            log::warn!("plot not drawn: {err}");
        }
    }
    svg
}

fn draw_by_time(area: &Area<'_>, report: &Report, series: &[Series]) -> DrawResult {
    let unit = TimeUnit::of(report);
    let step = report.step_ms as f64 / unit.length_ms;
    let oldest = -step * report.slices.len().max(1) as f64;
    let axis_end = axis_end(report.slices.iter(), series);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN_PX)
        .x_label_area_size(X_AXIS_HEIGHT_PX)
        .y_label_area_size(Y_AXIS_WIDTH_PX)
        .build_cartesian_2d(oldest..0.0, 0.0..axis_end)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc(format!("{} ago", unit.name))
        .y_desc(format!(
            "requests in {}",
            format_duration_ms(report.step_ms)
        ))
        .x_label_formatter(&|x| one_decimal_label(x.abs()))
        .y_label_formatter(&|y| whole_number_label(*y))
        .draw()?;
    for (i, one) in series.iter().enumerate() {
        let bars = report.slices.iter().enumerate().map(|(age, tally)| {
            let right = -step * age as f64;
            let (low, high) = stack(tally, series, i);
            Rectangle::new([(right - step, low), (right, high)], one.color.filled())
        });
        chart
            .draw_series(bars)?
            .label(one.name)
            .legend(|at| legend(at, one.color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

/// Unit of the time axis.
struct TimeUnit {
    name: &'static str,
    length_ms: f64,
}

impl TimeUnit {
    fn of(report: &Report) -> TimeUnit {
        let (name, length_ms) = match report.window_ms as f64 {
            window if window >= MIN_HOURS_WINDOW_MS => ("hours", HOUR_MS),
            _ => ("minutes", MINUTE_MS),
        };
        TimeUnit { name, length_ms }
    }
}

fn draw_servers(area: &Area<'_>, lines: &[GroupLine]) -> DrawResult {
    let last = lines.len().saturating_sub(1);
    let axis_end = axis_end(lines.iter().map(|line| &line.tally), &SERIES);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN_PX)
        .x_label_area_size(X_AXIS_HEIGHT_PX)
        .y_label_area_size(NAME_AXIS_WIDTH_PX)
        .build_cartesian_2d(0.0..axis_end, (0..last).into_segmented())?;
    // The y axis counts from the bottom, the lines from the top.
    let from_top = |y: usize| lines.iter().rev().nth(y);
    let name = |y: &SegmentValue<usize>| match y {
        SegmentValue::CenterOf(y) => from_top(*y).map_or_else(String::new, |l| l.name.clone()),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .light_line_style(TRANSPARENT)
        .y_labels(lines.len().max(1))
        .x_desc("requests")
        .x_label_formatter(&|x| whole_number_label(*x))
        .y_label_formatter(&name)
        .draw()?;
    for (i, series) in SERIES.iter().enumerate() {
        let bars = lines.iter().rev().enumerate().map(|(y, line)| {
            let (low, high) = stack(&line.tally, &SERIES, i);
            let corners = [
                (low, SegmentValue::Exact(y)),
                (high, SegmentValue::Exact(y + 1)),
            ];
            let mut bar = Rectangle::new(corners, series.color.filled());
            bar.set_margin(BAR_GAP_PX, BAR_GAP_PX, 0, 0);
            bar
        });
        chart
            .draw_series(bars)?
            .label(series.name)
            .legend(|at| legend(at, series.color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

fn draw_answer_times(area: &Area<'_>, buckets: &[AnswerBucket]) -> DrawResult {
    let used = nonempty_range(buckets);
    let max_count = used.iter().map(|b| b.count).max().unwrap_or(0);
    let last = used.len().saturating_sub(1);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN_PX)
        .x_label_area_size(X_AXIS_HEIGHT_PX)
        .y_label_area_size(Y_AXIS_WIDTH_PX)
        .build_cartesian_2d((0..last).into_segmented(), 0.0..with_headroom(max_count))?;
    let bound = |x: &SegmentValue<usize>| match x {
        SegmentValue::CenterOf(x) => used.get(*x).map_or_else(String::new, bound_label),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_labels(used.len().max(1))
        .x_desc("answered within")
        .y_desc("served requests")
        .x_label_formatter(&bound)
        .y_label_formatter(&|y| whole_number_label(*y))
        .draw()?;
    chart.draw_series(used.iter().enumerate().map(|(x, bucket)| {
        let corners = [
            (SegmentValue::Exact(x), 0.0),
            (SegmentValue::Exact(x + 1), bucket.count as f64),
        ];
        let mut bar = Rectangle::new(corners, BLUE_GREY.filled());
        bar.set_margin(0, 0, BAR_GAP_PX, BAR_GAP_PX);
        bar
    }))?;
    Ok(())
}

/// Lower and upper end of the series at index `i` in the stacked bar of `tally`.
fn stack(tally: &Tally, series: &[Series], i: usize) -> (f64, f64) {
    (
        sum(tally, &series[..i]) as f64,
        sum(tally, &series[..=i]) as f64,
    )
}

fn legend(at: (i32, i32), color: RGBColor) -> Rectangle<(i32, i32)> {
    let (x, y) = at;
    Rectangle::new([(x, y - 5), (x + 14, y + 5)], color.filled())
}

fn sum(tally: &Tally, series: &[Series]) -> u64 {
    let counts = series.iter().map(|s| (s.count)(tally));
    counts.fold(0, u64::saturating_add)
}

/// End of the value axis for the highest stacked bar.
fn axis_end<'a>(tallies: impl Iterator<Item = &'a Tally>, series: &[Series]) -> f64 {
    let height = |tally: &Tally| sum(tally, series);
    with_headroom(tallies.map(height).max().unwrap_or(0))
}

/// Axis label of a count; empty between whole numbers.
fn whole_number_label(x: f64) -> String {
    match x.fract() == 0.0 {
        true => format!("{x:.0}"),
        false => String::new(),
    }
}

/// Axis label with one decimal, which is left out if it is zero.
fn one_decimal_label(x: f64) -> String {
    let text = format!("{x:.1}");
    text.strip_suffix(".0").map_or(text.clone(), str::to_string)
}

fn with_headroom(max_count: u64) -> f64 {
    max_count.max(1) as f64 * AXIS_HEADROOM_FACTOR
}

/// Buckets from the first to the last that is not empty.
fn nonempty_range(buckets: &[AnswerBucket]) -> &[AnswerBucket] {
    let first = buckets.iter().position(|b| b.count > 0);
    let last = buckets.iter().rposition(|b| b.count > 0);
    match (first, last) {
        (Some(first), Some(last)) => &buckets[first..=last],
        _ => &[],
    }
}

fn bound_label(bucket: &AnswerBucket) -> String {
    bucket
        .up_to_ms
        .map_or("longer".to_string(), format_duration_ms)
}

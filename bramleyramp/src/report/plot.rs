//! Plots of the report, each as one SVG picture.

use std::io;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::report::model::AnswerBucket;
use crate::report::model::Line;
use crate::report::model::Report;
use crate::report::model::Tally;
use crate::words::span;

const WIDTH: u32 = 900;
const HEIGHT: u32 = 300;

/// Height that each backend server takes, and the rest of its picture.
const BAR_HEIGHT: u32 = 24;
const SERVERS_FRAME: u32 = 90;

/// Backend servers shown at most; the table has all.
const SERVERS_SHOWN: usize = 40;

const MARGIN: u32 = 12;
const AXIS: u32 = 60;
const AXIS_BELOW: u32 = 45;
const AXIS_OF_NAMES: u32 = 170;

/// Space above and below a bar.
const BAR_GAP: u32 = 4;

/// Room beyond the longest bar, as a factor; the legend stands there.
const HEADROOM: f64 = 1.35;

/// Windows of this length and longer are drawn in hours.
const HOURS_FROM_MS: f64 = 3.0 * HOUR_MS;
const MINUTE_MS: f64 = 60_000.0;
const HOUR_MS: f64 = 60.0 * MINUTE_MS;

const BLUE_GREY: RGBColor = RGBColor(69, 90, 100);

/// Result of drawing into memory.
type Drawn = Result<(), DrawingAreaErrorKind<io::Error>>;

/// Area of one picture.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A class of requests as it is drawn.
struct Series {
    name: &'static str,
    color: RGBColor,
    count: fn(&Tally) -> u64,
}

/// Classes in the order in which they are stacked.
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

/// Served, refused and cut requests by time.
pub fn requests_by_time(report: &Report) -> String {
    picture(HEIGHT, |area| draw_by_time(area, report, &SERIES))
}

/// Refused and cut requests by time, on a scale of their own: beside the
/// served ones they are seldom seen.
pub fn failures_by_time(report: &Report) -> String {
    picture(HEIGHT, |area| draw_by_time(area, report, &SERIES[1..]))
}

/// Served requests by answer time.
pub fn answer_times(report: &Report) -> String {
    picture(HEIGHT, |area| draw_answer_times(area, &report.answer_times))
}

/// Served, refused and cut requests by backend server.
pub fn servers(report: &Report) -> String {
    let shown = &report.servers[..report.servers.len().min(SERVERS_SHOWN)];
    let height = BAR_HEIGHT * shown.len() as u32 + SERVERS_FRAME;
    picture(height, |area| draw_servers(area, shown))
}

fn picture(height: u32, draw: impl Fn(&Area<'_>) -> Drawn) -> String {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let drawn = draw(&area).and_then(|()| area.present());
        if let Err(err) = drawn {
            log::warn!("plot not drawn: {err}");
        }
    }
    svg
}

fn draw_by_time(area: &Area<'_>, report: &Report, series: &[Series]) -> Drawn {
    let unit = TimeUnit::of(report);
    let step = report.step_ms as f64 / unit.length_ms;
    let oldest = -step * report.slices.len().max(1) as f64;
    let most = most(report.slices.iter(), series);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(AXIS_BELOW)
        .y_label_area_size(AXIS)
        .build_cartesian_2d(oldest..0.0, 0.0..most)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc(format!("{} ago", unit.name))
        .y_desc(format!("requests in {}", span(report.step_ms)))
        .x_label_formatter(&|x| tenths(x.abs()))
        .y_label_formatter(&|y| whole(*y))
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
            window if window >= HOURS_FROM_MS => ("hours", HOUR_MS),
            _ => ("minutes", MINUTE_MS),
        };
        TimeUnit { name, length_ms }
    }
}

fn draw_servers(area: &Area<'_>, lines: &[Line]) -> Drawn {
    let last = lines.len().saturating_sub(1);
    let most = most(lines.iter().map(|line| &line.tally), &SERIES);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(AXIS_BELOW)
        .y_label_area_size(AXIS_OF_NAMES)
        .build_cartesian_2d(0.0..most, (0..last).into_segmented())?;
    // The axis goes up, the lines go down.
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
        .x_label_formatter(&|x| whole(*x))
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
            bar.set_margin(BAR_GAP, BAR_GAP, 0, 0);
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

fn draw_answer_times(area: &Area<'_>, buckets: &[AnswerBucket]) -> Drawn {
    let used = used(buckets);
    let most = used.iter().map(|b| b.count).max().unwrap_or(0);
    let last = used.len().saturating_sub(1);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(AXIS_BELOW)
        .y_label_area_size(AXIS)
        .build_cartesian_2d((0..last).into_segmented(), 0.0..axis_end(most))?;
    let bound = |x: &SegmentValue<usize>| match x {
        SegmentValue::CenterOf(x) => used.get(*x).map_or_else(String::new, up_to),
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
        .y_label_formatter(&|y| whole(*y))
        .draw()?;
    chart.draw_series(used.iter().enumerate().map(|(x, bucket)| {
        let corners = [
            (SegmentValue::Exact(x), 0.0),
            (SegmentValue::Exact(x + 1), bucket.count as f64),
        ];
        let mut bar = Rectangle::new(corners, BLUE_GREY.filled());
        bar.set_margin(0, 0, BAR_GAP, BAR_GAP);
        bar
    }))?;
    Ok(())
}

/// Lower and upper end of the series at `i` in the stack of `tally`.
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

/// End of an axis on which the highest stack has room.
fn most<'a>(tallies: impl Iterator<Item = &'a Tally>, series: &[Series]) -> f64 {
    let height = |tally: &Tally| sum(tally, series);
    axis_end(tallies.map(height).max().unwrap_or(0))
}

/// Label of a count; none between whole numbers.
fn whole(x: f64) -> String {
    match x.fract() == 0.0 {
        true => format!("{x:.0}"),
        false => String::new(),
    }
}

/// A number with a tenth where it has one.
fn tenths(x: f64) -> String {
    let text = format!("{x:.1}");
    text.strip_suffix(".0").map_or(text.clone(), str::to_string)
}

fn axis_end(most: u64) -> f64 {
    most.max(1) as f64 * HEADROOM
}

/// Buckets from the first to the last with requests.
fn used(buckets: &[AnswerBucket]) -> &[AnswerBucket] {
    let first = buckets.iter().position(|b| b.count > 0);
    let last = buckets.iter().rposition(|b| b.count > 0);
    match (first, last) {
        (Some(first), Some(last)) => &buckets[first..=last],
        _ => &[],
    }
}

fn up_to(bucket: &AnswerBucket) -> String {
    bucket.up_to_ms.map_or("longer".to_string(), span)
}

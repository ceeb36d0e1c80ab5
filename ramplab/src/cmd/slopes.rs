//! `ramplab slopes`: measures how costs grow with the size of the fleet.

use std::process::ExitCode;

use ramplab::slopes;
use ramplab::slopes::Series;
use ramplab::slopes::SeriesKind;
use serde_json::json;

use crate::error::CliResult;

const USAGE: &str = "\
Measures how state, messages and CPU time grow with the size of the fleet, and
extrapolates them to the target size. Counts come before times.

Usage:
    ramplab slopes [--json]

Options:
    --json      one JSON object per line
    -h, --help  show this text
";

/// Runs all measurements and prints the fitted lines.
pub fn run(mut args: lexopt::Parser) -> CliResult<ExitCode> {
    let mut as_json = false;
    while let Some(arg) = args.next()? {
        match arg {
            lexopt::Arg::Long("json") => as_json = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                print!("{USAGE}");
                return Ok(ExitCode::SUCCESS);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    for series in slopes::measure_all() {
        if as_json {
            println!("{}", to_json(&series));
        } else {
            print_series(&series);
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn to_json(series: &Series) -> serde_json::Value {
    let fit = series.fit();
    let points: Vec<_> = series.points.iter().map(|p| json!([p.x, p.y])).collect();
    json!({
        "name": series.name,
        "unit": series.unit,
        "per": series.per,
        "counted": series.kind == SeriesKind::Count,
        "points": points,
        "slope": fit.slope,
        "base": fit.intercept,
        "r2": fit.r_squared,
        "target": series.target_size,
        "at_target": series.at_target(),
    })
}

fn print_series(series: &Series) {
    let fit = series.fit();
    let kind = match series.kind {
        SeriesKind::Count => "count",
        SeriesKind::Time => "time",
    };
    println!("{kind}  {} [{}]", series.name, series.unit);
    for point in &series.points {
        println!("       {:>10.0}  {:>14.1}", point.x, point.y);
    }
    println!(
        "       {:.3} for each {} + {:.1}, r2 {:.4}; at {:.0}: {:.1}",
        fit.slope,
        series.per,
        fit.intercept,
        fit.r_squared,
        series.target_size,
        series.at_target()
    );
}

//! `report` subcommand: shows how many requests and flows were served, refused or
//! cut off, and why.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::error::CliError;
use crate::error::CliResult;
use crate::query::Targets;
use crate::report::build;
use crate::report::html;
use crate::report::sums::Sums;
use crate::report::text;
use crate::runtime;

const USAGE: &str = "\
Reports how many requests and flows were served, refused, cut and given up, and
why, by service, data centre, backend server and caller; exceptions in force;
burn rates.

Usage:
    bramleyramp report --platform IP:PORT [<option>...]
    bramleyramp report --process IP:PORT... [<option>...]

All live processes are asked. What is missing is named, and totals then say
\"at least\".

Exit code: 0 when a report was made, 1 when no process answered.

Options:
    --platform IP:PORT  Ask all processes that this replica of the platform
                        lists, and those of the fleet document.
    --process IP:PORT   Ask the process with this control address. May be
                        given more than once.
    --window TIME       Look back this long: a number with s, m, h or d, up to
                        3d. [default: 10m]
    --callers N         Show this many callers individually. [default: 10]
    --json              Print JSON instead of text.
    --html FILE         Also write a page with plots.
    -h, --help          Show this text.
";

const DEFAULT_WINDOW: Duration = Duration::from_secs(600);
const MAX_WINDOW: Duration = Duration::from_secs(3 * 86_400);
const DEFAULT_CALLER_COUNT: usize = 10;

struct Args {
    targets: Targets,
    window: Duration,
    callers: usize,
    json: bool,
    html: Option<PathBuf>,
}

/// Runs `report` with the arguments after its name.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let Some(args) = parse(args)? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    let windows = build::windows(args.window);
    let mut sums = Sums::new();
    let query = args
        .targets
        .query(&windows, |process_report| sums.add(process_report));
    let results = runtime::block_on(query)?;
    let report = build::report(&results, sums, args.window, args.callers);
    if let Some(file) = &args.html {
        fs::write(file, html::render(&report))?;
    }
    match args.json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{}", text::render(&report)),
    }
    match report.answered {
        0 => Ok(ExitCode::FAILURE),
        _ => Ok(ExitCode::SUCCESS),
    }
}

fn parse(mut args: lexopt::Parser) -> CliResult<Option<Args>> {
    use lexopt::prelude::*;

    let mut parsed = Args {
        targets: Targets::default(),
        window: DEFAULT_WINDOW,
        callers: DEFAULT_CALLER_COUNT,
        json: false,
        html: None,
    };
    while let Some(arg) = args.next()? {
        match arg {
            Long("window") => parsed.window = parse_window(&args.value()?.string()?)?,
            Long("callers") => parsed.callers = args.value()?.parse()?,
            Long("json") => parsed.json = true,
            Long("html") => parsed.html = Some(args.value()?.into()),
            Long("help") | Short('h') => return Ok(None),
            Long(name) => {
                let name = name.to_string();
                if !parsed.targets.parse_option(&name, &mut args)? {
                    return Err(Long(&name).unexpected().into());
                }
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    if parsed.targets.is_empty() {
        return Err(CliError::Usage(USAGE.to_string()));
    }
    Ok(Some(parsed))
}

/// Parses a duration such as `90s`, `10m`, `6h` or `3d`.
fn parse_window(text: &str) -> CliResult<Duration> {
    let usage_error =
        || CliError::Usage(format!("`{text}` is not a time such as 90s, 10m, 6h or 3d"));
    let unit = text.chars().last().ok_or_else(usage_error)?;
    let seconds = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3_600,
        'd' => 86_400,
        _ => return Err(usage_error()),
    };
    let digits = &text[..text.len() - 1];
    let number: u32 = digits.parse().map_err(|_| usage_error())?;
    let window = Duration::from_secs(u64::from(number) * seconds);
    match window {
        Duration::ZERO => Err(usage_error()),
        window if window > MAX_WINDOW => Err(CliError::Usage(
            "processes remember 3 days at most".to_string(),
        )),
        window => Ok(window),
    }
}

//! `ramplab demo`: runs a whole fleet on one machine through maintenance under load.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::ValueExt;
use ramplab::demo::plan::Plan;
use ramplab::demo::run::Demo;
use ramplab::demo::run::Options;
use ramplab::demo::run::Outcome;

use crate::cmd::check_history;
use crate::cmd::on_local_runtime;
use crate::cmd::wait_for_termination;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Runs a whole fleet on loopback under load: takes a data centre out and brings
it back, drains a server, replaces a balancer; prints the report, the violated
invariants and, last, one JSON object. Exit code 1 when an invariant was violated.

Usage:
    ramplab demo [quillfield|helvetia] [<option>...]

Options:
    --seconds N    duration of the load, 25 to 36 [30]
    --seed N       seed of the random number generators [1]
    --bin PATH     the bramleyramp binary [in the directory of this one]
    --keep         keep the logs and histories
";

/// Allowed duration of the load, in seconds; a run must end within a minute.
const LOAD_SECONDS: std::ops::RangeInclusive<u64> = 25..=36;

/// Parses the arguments and runs the demo.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let (plan, options) = parse(args)?;
    on_local_runtime(run_demo(plan, options))
}

fn parse(mut parser: lexopt::Parser) -> CliResult<(Plan, Options)> {
    use lexopt::Arg::Long;
    use lexopt::Arg::Value;
    let ramplab = std::env::current_exe()?;
    let mut plan = Plan::quillfield();
    let mut options = Options {
        load_time: Duration::from_secs(30),
        seed: 1,
        bramleyramp: ramplab.with_file_name("bramleyramp"),
        ramplab,
        keep: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Value(name) => {
                let name = name.to_string_lossy();
                let Some(named) = Plan::by_name(&name) else {
                    return Err(CliError::Usage(USAGE.to_string()));
                };
                plan = named;
            }
            Long("seconds") => {
                let seconds: u64 = parser.value()?.parse()?;
                if !LOAD_SECONDS.contains(&seconds) {
                    return Err(CliError::Usage(USAGE.to_string()));
                }
                options.load_time = Duration::from_secs(seconds);
            }
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("bin") => options.bramleyramp = PathBuf::from(parser.value()?),
            Long("keep") => options.keep = true,
            Long("help") => return Err(CliError::Usage(USAGE.to_string())),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok((plan, options))
}

async fn run_demo(plan: Plan, options: Options) -> CliResult<ExitCode> {
    let mut demo = Demo::new(plan, options)?;
    eprintln!("demo: files in {}", demo.dir().display());
    let outcome = tokio::select! {
        outcome = demo.run() => outcome?,
        _ = wait_for_termination() => {
            // Dropping the demo terminates its child processes.
            return Err(CliError::Other("demo: interrupted".to_string()));
        }
    };
    Ok(print(&outcome))
}

fn print(outcome: &Outcome) -> ExitCode {
    if let Some(report) = &outcome.report {
        println!("{report}");
    }
    for name in &outcome.unclean_exits {
        println!("{name} did not stop cleanly when asked to");
    }
    check_history::print(&outcome.check_report);
    println!("{}", serde_json::json!(outcome.check_report.summary));
    if outcome.check_report.violations.is_empty() && outcome.unclean_exits.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

//! `ramplab trial`: causes one failure in a fleet under load and checks the result.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::ValueExt;
use ramplab::demo::run::Demo;
use ramplab::demo::run::Options;
use ramplab::trial;
use ramplab::trial::Scenario;

use crate::cmd::check_history;
use crate::cmd::on_local_runtime;
use crate::cmd::wait_for_termination;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Runs a small fleet on loopback under load and causes one failure; prints the
violated invariants and, last, one JSON object with the counts and figures.
Exit code 1 when an invariant was violated.

Usage:
    ramplab trial NAME [<option>...]

Names:
    agent-killed balancer-killed balancer-frozen-out agent-frozen
    agent-frozen-leaving platform-down-out platform-stale partition
    two-publishers two-at-once

Options:
    --seconds N    duration of the load [12]
    --seed N       seed of the random number generators [1]
    --bin PATH     the bramleyramp binary [in the directory of this one]
    --keep         keep the logs and histories
";

/// Parses the arguments and runs the scenario.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let (scenario, options) = parse(args)?;
    on_local_runtime(run_trial(scenario, options))
}

fn parse(mut parser: lexopt::Parser) -> CliResult<(Scenario, Options)> {
    use lexopt::Arg::Long;
    use lexopt::Arg::Value;
    let ramplab = std::env::current_exe()?;
    let mut scenario = None;
    let mut options = Options {
        load_time: Duration::from_secs(12),
        seed: 1,
        bramleyramp: ramplab.with_file_name("bramleyramp"),
        ramplab,
        keep: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Value(name) => scenario = Scenario::by_name(&name.to_string_lossy()),
            Long("seconds") => options.load_time = Duration::from_secs(parser.value()?.parse()?),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("bin") => options.bramleyramp = PathBuf::from(parser.value()?),
            Long("keep") => options.keep = true,
            Long("help") => return Err(CliError::Usage(USAGE.to_string())),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let Some(scenario) = scenario else {
        return Err(CliError::Usage(USAGE.to_string()));
    };
    Ok((scenario, options))
}

async fn run_trial(scenario: Scenario, options: Options) -> CliResult<ExitCode> {
    let mut demo = Demo::new(trial::plan(), options)?;
    eprintln!("trial: files in {}", demo.dir().display());
    let (outcome, figures) = tokio::select! {
        outcome = trial::run::run(&mut demo, scenario) => outcome?,
        _ = wait_for_termination() => {
            // Dropping the demo terminates its child processes.
            return Err(CliError::Other("trial: interrupted".to_string()));
        }
    };
    check_history::print(&outcome.check_report);
    let counts = serde_json::json!({
        "trial": scenario.to_string(),
        "summary": outcome.check_report.summary,
        "figures": figures,
        "ended_badly": outcome.unclean_exits,
    });
    println!("{counts}");
    if outcome.check_report.violations.is_empty() && outcome.unclean_exits.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

//! `ramplab check-history`: judges the promises over histories.

use std::path::PathBuf;
use std::process::ExitCode;

use ramplab::check::CheckReport;
use ramplab::check::check_history;
use ramplab::history;

use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Merges the histories of one run, judges the promises, and prints for each
broken one the fewest events that show it; the counts as JSON come last.
Exit code 1 when a promise was broken.

Usage:
    ramplab check-history FILE...
";

/// Violations of one promise that are printed.
const PRINTED_MOST: usize = 5;

/// Runs the command.
pub fn run(mut args: lexopt::Parser) -> CliResult<ExitCode> {
    use lexopt::Arg::Long;
    use lexopt::Arg::Value;
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(arg) = args.next()? {
        match arg {
            Value(file) => files.push(file.into()),
            Long("help") => return Err(CliError::Usage(USAGE.to_string())),
            _ => return Err(arg.unexpected().into()),
        }
    }
    if files.is_empty() {
        return Err(CliError::Usage(USAGE.to_string()));
    }
    let judgement = judge_files(&files)?;
    print(&judgement);
    println!("{}", serde_json::json!(judgement.summary));
    if judgement.violations.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

/// Judges the histories in `files`.
pub fn judge_files(files: &[PathBuf]) -> CliResult<CheckReport> {
    let mut histories = Vec::new();
    for file in files {
        histories.push(history::read(file)?);
    }
    Ok(check_history(&history::merge(histories)))
}

/// Prints the broken promises, the first few of each.
pub fn print(judgement: &CheckReport) {
    let mut last = None;
    let mut count = 0;
    for violation in &judgement.violations {
        count = if last == Some(violation.invariant) {
            count + 1
        } else {
            1
        };
        last = Some(violation.invariant);
        if count > PRINTED_MOST {
            continue;
        }
        println!("{}:", violation.invariant);
        for event in &violation.events {
            println!("    {}", serde_json::json!(event));
        }
    }
}

//! `ramplab check-history`: checks the histories of a run for violated invariants.

use std::path::PathBuf;
use std::process::ExitCode;

use ramplab::check::CheckReport;
use ramplab::check::check_history;
use ramplab::history;

use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Merges the histories of one run, checks the invariants, and prints for each
violation the fewest events that show it; the counts as JSON come last.
Exit code 1 when an invariant was violated.

Usage:
    ramplab check-history FILE...
";

/// Violations of one invariant that are printed; the rest are only counted.
const MAX_PRINTED_PER_INVARIANT: usize = 5;

/// Parses the arguments, checks the files and prints the result.
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
    let report = check_files(&files)?;
    print(&report);
    println!("{}", serde_json::json!(report.summary));
    if report.violations.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::FAILURE)
    }
}

/// Merges and checks the histories in `files`.
pub fn check_files(files: &[PathBuf]) -> CliResult<CheckReport> {
    let mut histories = Vec::new();
    for file in files {
        histories.push(history::read(file)?);
    }
    Ok(check_history(&history::merge(histories)))
}

/// Prints the first few violations of each invariant.
pub fn print(report: &CheckReport) {
    let mut last = None;
    let mut count = 0;
    for violation in &report.violations {
        count = if last == Some(violation.invariant) {
            count + 1
        } else {
            1
        };
        last = Some(violation.invariant);
        if count > MAX_PRINTED_PER_INVARIANT {
            continue;
        }
        println!("{}:", violation.invariant);
        for event in &violation.events {
            println!("    {}", serde_json::json!(event));
        }
    }
}

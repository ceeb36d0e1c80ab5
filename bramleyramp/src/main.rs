//! Entry point of `bramleyramp`: dispatches to the subcommand.

mod cmd;
mod daemon;
mod error;
mod human_format;
mod query;
mod report;
mod runtime;
mod status;
mod table;

use std::process::ExitCode;

use crate::error::CliResult;

const USAGE: &str = "\
Layer-4 load balancer with reports of what each caller got, and why.

Usage:
    bramleyramp <command> [<option>...]
    bramleyramp <command> --help

Commands:
";

fn main() -> ExitCode {
    match dispatch() {
        Ok(code) => code,
        Err(err) => err.report(),
    }
}

fn dispatch() -> CliResult<ExitCode> {
    let mut args = lexopt::Parser::from_env();
    match args.next()? {
        Some(lexopt::Arg::Value(name)) => cmd::run(&name.to_string_lossy(), args),
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            print!("{USAGE}{}", cmd::list());
            Ok(ExitCode::SUCCESS)
        }
        Some(arg) => Err(arg.unexpected().into()),
        None => Err(crate::error::CliError::Usage(format!(
            "{USAGE}{}",
            cmd::list()
        ))),
    }
}

//! Entry point of `ramplab`: sets up logging and dispatches to the subcommand.

mod cmd;
mod error;
mod platform;

use std::process::ExitCode;

use log::LevelFilter;
use ramp_transport::logging;
use ramp_transport::logging::Stream;

use crate::error::CliResult;

const USAGE: &str = "\
Test lab for bramleyramp on one machine: simulated peers, load and checks.

Usage:
    ramplab <command> [<option>...]
    ramplab <command> --help

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
        Some(lexopt::Arg::Value(name)) => {
            let name = name.to_string_lossy();
            logging::init(&name, LevelFilter::Warn, Stream::Stderr)
                .map_err(|err| err.to_string())?;
            cmd::run(&name, args)
        }
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            print!("{USAGE}{}", cmd::command_list());
            Ok(ExitCode::SUCCESS)
        }
        Some(arg) => Err(arg.unexpected().into()),
        None => Err(crate::error::CliError::Usage(format!(
            "{USAGE}{}",
            cmd::command_list()
        ))),
    }
}

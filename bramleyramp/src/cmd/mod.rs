//! Table of the subcommands, which have one module each.

mod agent;
mod balancer;
mod check;
mod report;
mod status;

use std::process::ExitCode;

use crate::error::CliError;
use crate::error::CliResult;

/// Function that runs a subcommand with the arguments after its name.
type Run = fn(lexopt::Parser) -> CliResult<ExitCode>;

/// A subcommand, and its line in the usage text.
struct Command {
    name: &'static str,
    about: &'static str,
    run: Run,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "agent",
        about: "run beside a backend server",
        run: agent::run,
    },
    Command {
        name: "balancer",
        about: "route callers' packets to agents",
        run: balancer::run,
    },
    Command {
        name: "check",
        about: "find every fault of settings and documents",
        run: check::run,
    },
    Command {
        name: "report",
        about: "show what callers got, and why",
        run: report::run,
    },
    Command {
        name: "status",
        about: "show whether one version is in force everywhere",
        run: status::run,
    },
];

/// Runs the subcommand `name` with the remaining arguments.
pub fn run(name: &str, args: lexopt::Parser) -> CliResult<ExitCode> {
    let Some(command) = COMMANDS.iter().find(|c| c.name == name) else {
        return Err(CliError::Usage(format!(
            "no command `{name}`; there are:\n{}",
            list()
        )));
    };
    (command.run)(args)
}

/// List of the subcommands for the usage text, one line each.
pub fn list() -> String {
    COMMANDS
        .iter()
        .map(|c| format!("    {:<14} {}\n", c.name, c.about))
        .collect()
}

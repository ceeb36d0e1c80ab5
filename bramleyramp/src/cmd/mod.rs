//! The subcommands, one file each.

mod agent;
mod balancer;
mod check;
mod report;
mod status;

use std::process::ExitCode;

use crate::error::CliError;
use crate::error::CliResult;

/// Runs a subcommand on a parser that stands behind its name.
type Run = fn(lexopt::Parser) -> CliResult<ExitCode>;

/// A subcommand as the list shows it.
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
        about: "tell who got what, and why",
        run: report::run,
    },
    Command {
        name: "status",
        about: "tell whether one version is in force everywhere",
        run: status::run,
    },
];

/// Runs the subcommand `name`.
pub fn run(name: &str, args: lexopt::Parser) -> CliResult<ExitCode> {
    let Some(command) = COMMANDS.iter().find(|c| c.name == name) else {
        return Err(CliError::Usage(format!(
            "no command `{name}`; there are:\n{}",
            list()
        )));
    };
    (command.run)(args)
}

/// One line for each subcommand.
pub fn list() -> String {
    COMMANDS
        .iter()
        .map(|c| format!("    {:<14} {}\n", c.name, c.about))
        .collect()
}

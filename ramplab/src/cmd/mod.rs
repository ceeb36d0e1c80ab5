//! The subcommands, one file each.

mod backend;
mod check_history;
mod demo;
mod fabric;
mod load;
mod platform;
mod relay;
mod slopes;
mod throughput;
mod trial;

use std::path::Path;
use std::process::ExitCode;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

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
        name: "backend",
        about: "stand in for a backend server",
        run: backend::run,
    },
    Command {
        name: "check-history",
        about: "judge the promises over histories",
        run: check_history::run,
    },
    Command {
        name: "demo",
        about: "run a whole fleet on loopback",
        run: demo::run,
    },
    Command {
        name: "fabric",
        about: "spray callers' packets over the balancers",
        run: fabric::run,
    },
    Command {
        name: "load",
        about: "call services and check every answer",
        run: load::run,
    },
    Command {
        name: "platform",
        about: "stand in for the platform",
        run: platform::run,
    },
    Command {
        name: "relay",
        about: "stand between processes of different data centres",
        run: relay::run,
    },
    Command {
        name: "slopes",
        about: "measure how costs grow with the fleet",
        run: slopes::run,
    },
    Command {
        name: "throughput",
        about: "measure a balancer's packets a second",
        run: throughput::run,
    },
    Command {
        name: "trial",
        about: "bring about one failure on a fleet under load",
        run: trial::run,
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

/// Runs `work` on one thread, with local tasks.
fn on_local_runtime(work: impl Future<Output = CliResult<ExitCode>>) -> CliResult<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, work)
}

/// Waits for SIGTERM, SIGINT or SIGHUP.
async fn until_terminated() -> CliResult<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = hangup.recv() => {}
    }
    Ok(())
}

/// Writes the ready file, if one is wanted. It is renamed into place, so that
/// a reader never sees half of it.
fn write_ready(file: Option<&Path>, text: &str) -> CliResult<()> {
    let Some(file) = file else {
        return Ok(());
    };
    let part = file.with_extension("part");
    std::fs::write(&part, text)?;
    std::fs::rename(part, file)?;
    Ok(())
}

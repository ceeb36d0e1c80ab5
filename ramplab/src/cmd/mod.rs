//! Table of subcommands, one file each, and the helpers that they share: runtime,
//! termination signals and ready file.

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

/// Entry point of a subcommand; the parser has already consumed its name.
type Run = fn(lexopt::Parser) -> CliResult<ExitCode>;

/// A subcommand with the text that the usage shows for it.
struct Command {
    name: &'static str,
    description: &'static str,
    run: Run,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "backend",
        description: "run a simulated backend server",
        run: backend::run,
    },
    Command {
        name: "check-history",
        description: "check histories for violated invariants",
        run: check_history::run,
    },
    Command {
        name: "demo",
        description: "run a whole fleet on loopback",
        run: demo::run,
    },
    Command {
        name: "fabric",
        description: "distribute callers' packets over the balancers",
        run: fabric::run,
    },
    Command {
        name: "load",
        description: "generate load and check every response",
        run: load::run,
    },
    Command {
        name: "platform",
        description: "run a simulated platform",
        run: platform::run,
    },
    Command {
        name: "relay",
        description: "relay between data centres, with delay and partitions",
        run: relay::run,
    },
    Command {
        name: "slopes",
        description: "measure how costs grow with fleet size",
        run: slopes::run,
    },
    Command {
        name: "throughput",
        description: "measure a balancer's packets per second",
        run: throughput::run,
    },
    Command {
        name: "trial",
        description: "cause one failure in a fleet under load",
        run: trial::run,
    },
];

/// Runs the subcommand `name` with the remaining arguments.
pub fn run(name: &str, args: lexopt::Parser) -> CliResult<ExitCode> {
    let Some(command) = COMMANDS.iter().find(|c| c.name == name) else {
        return Err(CliError::Usage(format!(
            "no command `{name}`; there are:\n{}",
            command_list()
        )));
    };
    (command.run)(args)
}

/// Usage text with one line per subcommand.
pub fn command_list() -> String {
    COMMANDS
        .iter()
        .map(|c| format!("    {:<14} {}\n", c.name, c.description))
        .collect()
}

/// Runs `work` on a single-threaded runtime that allows local tasks.
fn on_local_runtime(work: impl Future<Output = CliResult<ExitCode>>) -> CliResult<ExitCode> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, work)
}

/// Waits for SIGTERM, SIGINT or SIGHUP.
async fn wait_for_termination() -> CliResult<()> {
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

/// Writes `text` to the ready file, if one is given. The file is written under
/// another name and renamed, so that a reader never sees a partial text.
fn write_ready_file(file: Option<&Path>, text: &str) -> CliResult<()> {
    let Some(file) = file else {
        return Ok(());
    };
    let partial_file = file.with_extension("part");
    std::fs::write(&partial_file, text)?;
    std::fs::rename(partial_file, file)?;
    Ok(())
}

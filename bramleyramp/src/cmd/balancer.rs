//! `balancer`: the daemon.

use std::process::ExitCode;

use ramp_state::instances::Role;
use ramp_transport::daemon::run_balancer;

use crate::daemon;
use crate::error::CliResult;

const USAGE: &str = "\
Takes callers' packets from the fabric and sends each to the agent that its
flow belongs to. Runs until SIGTERM.

Usage:
    bramleyramp balancer --settings FILE [--log LEVEL]

Exit code: 0 after an orderly end, 2 with faults in the settings.

Options:
    --settings FILE  Settings of the process (INI); see docs/CONFIGURATION.md.
    --log LEVEL      error, warn, info (default), debug or trace.
    -h, --help       Show this text.
";

/// Runs the subcommand.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    daemon::run(args, USAGE, Role::Balancer, run_balancer)
}

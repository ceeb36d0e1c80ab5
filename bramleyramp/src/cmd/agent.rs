//! `agent`: the daemon.

use std::process::ExitCode;

use ramp_state::instances::Role;
use ramp_transport::daemon::run_agent;

use crate::daemon;
use crate::error::CliResult;

const USAGE: &str = "\
Runs beside one backend server: ends callers' flows and brings their requests
to it. On SIGTERM it finishes what it has, within the drain limit.

Usage:
    bramleyramp agent --settings FILE [--log LEVEL]

Exit code: 0 after an orderly end, 2 with faults in the settings.

Options:
    --settings FILE  Settings of the process (INI); see docs/CONFIGURATION.md.
    --log LEVEL      error, warn, info (default), debug or trace.
    -h, --help       Show this text.
";

/// Runs the subcommand.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    daemon::run(args, USAGE, Role::Agent, run_agent)
}

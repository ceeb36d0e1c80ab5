//! `agent` subcommand: runs the daemon beside one backend server.

use std::process::ExitCode;

use ramp_platform::packet::PlatformPacket;
use ramp_state::instances::Role;
use ramp_transport::daemon::run_agent;
use ramp_transport::passthrough::daemon as passthrough;

use crate::daemon;
use crate::daemon::EntryPoints;
use crate::error::CliResult;

const USAGE: &str = "\
Runs beside one backend server: terminates callers' flows and forwards their
requests to it. On SIGTERM it finishes its flows and requests, within the drain
limit.

Usage:
    bramleyramp agent --settings FILE [--log LEVEL]
    bramleyramp agent --on-platform [--metrics-port PORT] [--log LEVEL]

Exit code: 0 after an orderly shutdown, 2 when the settings are invalid.

Options:
    --settings FILE  Settings of the process (INI); see docs/CONFIGURATION.md.
    --on-platform    Take settings and configuration from the users' platform
                     and pass packets through; see docs/PLATFORM.md.
    --metrics-port PORT
                     Serve metrics on this port of the machine.
    --log LEVEL      error, warn, info (default), debug or trace.
    -h, --help       Show this text.
";

/// Runs `agent` with the arguments after its name.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let entry_points = EntryPoints {
        with_settings_file: run_agent,
        on_platform: passthrough::run_agent::<PlatformPacket>,
    };
    daemon::run(args, USAGE, Role::Agent, &entry_points)
}

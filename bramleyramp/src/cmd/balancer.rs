//! `balancer` subcommand: runs the daemon that routes packets to agents.

use std::process::ExitCode;

use ramp_platform::packet::PlatformPacket;
use ramp_state::instances::Role;
use ramp_transport::daemon::run_balancer;
use ramp_transport::passthrough::daemon as passthrough;

use crate::daemon;
use crate::daemon::EntryPoints;
use crate::error::CliResult;

const USAGE: &str = "\
Receives callers' packets from the fabric and forwards each to the agent that
owns its flow. Runs until SIGTERM.

Usage:
    bramleyramp balancer --settings FILE [--log LEVEL]
    bramleyramp balancer --on-platform [--metrics-port PORT] [--log LEVEL]

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

/// Runs `balancer` with the arguments after its name.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let entry_points = EntryPoints {
        with_settings_file: run_balancer,
        on_platform: passthrough::run_balancer::<PlatformPacket>,
    };
    daemon::run(args, USAGE, Role::Balancer, &entry_points)
}

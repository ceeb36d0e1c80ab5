//! `balancer`: the daemon.

use std::process::ExitCode;

use ramp_platform::packet::PlatformPacket;
use ramp_state::instances::Role;
use ramp_transport::daemon::run_balancer;
use ramp_transport::passthrough::daemon as passthrough;

use crate::daemon;
use crate::daemon::EntryPoints;
use crate::error::CliResult;

const USAGE: &str = "\
Takes callers' packets from the fabric and sends each to the agent that its
flow belongs to. Runs until SIGTERM.

Usage:
    bramleyramp balancer --settings FILE [--log LEVEL]
    bramleyramp balancer --on-platform [--metrics-port PORT] [--log LEVEL]

Exit code: 0 after an orderly end, 2 with faults in the settings.

Options:
    --settings FILE  Settings of the process (INI); see docs/CONFIGURATION.md.
    --on-platform    Take settings and configuration from the users' platform
                     and pass packets through; see docs/PLATFORM.md.
    --metrics-port PORT
                     Serve metrics on this port of the machine.
    --log LEVEL      error, warn, info (default), debug or trace.
    -h, --help       Show this text.
";

/// Runs the subcommand.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let entry_points = EntryPoints {
        with_settings_file: run_balancer,
        on_platform: passthrough::run_balancer::<PlatformPacket>,
    };
    daemon::run(args, USAGE, Role::Balancer, &entry_points)
}

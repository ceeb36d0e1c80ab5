//! `ramplab platform`: simulates the platform, which publishes the fleet document
//! and the instance list over HTTP.

use std::process::ExitCode;

use crate::cmd::on_local_runtime;
use crate::cmd::wait_for_termination;
use crate::error::CliError;
use crate::error::CliResult;
use crate::platform;
use crate::platform::Config;

const USAGE: &str = "\
Simulates the platform: publishes a fleet document and a list of instances.

Usage:
    ramplab platform --listen IP:PORT --fleet FILE --instances FILE [options]

Editing a file, or PUT /fleet and PUT /instances, publishes a new version.
PUT /mode takes `up`, `down` or `stale VERSION`; GET /calls counts the calls.

Options:
    --listen IP:PORT        Address to listen on; port 0: chosen by the kernel.
    --fleet FILE            The fleet document.
    --instances FILE        The list of instances.
    --ready-file FILE       File to write the bound address to once bound.
    --first-version NUMBER  Version of the first texts (default: 1).
    -h, --help              Show this text.
";

/// Parses the arguments and serves until a termination signal.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let Some(config) = parse(args)? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    on_local_runtime(async {
        tokio::select! {
            ended = platform::serve(config) => ended?,
            ended = wait_for_termination() => ended?,
        }
        Ok(ExitCode::SUCCESS)
    })
}

fn parse(mut args: lexopt::Parser) -> CliResult<Option<Config>> {
    use lexopt::prelude::*;

    let mut listen = None;
    let mut fleet = None;
    let mut instances = None;
    let mut ready_file = None;
    let mut first_version = 1;
    while let Some(arg) = args.next()? {
        match arg {
            Long("listen") => listen = Some(args.value()?.parse()?),
            Long("fleet") => fleet = Some(args.value()?.into()),
            Long("instances") => instances = Some(args.value()?.into()),
            Long("ready-file") => ready_file = Some(args.value()?.into()),
            Long("first-version") => first_version = args.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let (Some(listen), Some(fleet), Some(instances)) = (listen, fleet, instances) else {
        return Err(CliError::Usage(USAGE.to_string()));
    };
    Ok(Some(Config {
        listen,
        fleet,
        instances,
        ready_file,
        first_version,
    }))
}

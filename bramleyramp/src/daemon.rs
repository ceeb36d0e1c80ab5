//! What the two daemons share on the command line: a settings file, logs.

use std::fs;
use std::path::PathBuf;

use log::LevelFilter;
use ramp_state::instances::Role;
use ramp_state::settings::Settings;
use ramp_transport::daemon::DaemonError;
use ramp_transport::logging;

use crate::error::CliError;
use crate::error::CliResult;

/// Options of a daemon.
struct Args {
    settings: PathBuf,
    log: LevelFilter,
}

/// Reads the settings of a daemon of `role` and runs it with `body`.
pub fn run(
    args: lexopt::Parser,
    usage: &str,
    role: Role,
    body: impl FnOnce(Settings) -> Result<(), DaemonError>,
) -> CliResult<std::process::ExitCode> {
    let Some(args) = parse(args, usage)? else {
        print!("{usage}");
        return Ok(std::process::ExitCode::SUCCESS);
    };
    let file = args.settings.display().to_string();
    let text = fs::read_to_string(&args.settings)
        .map_err(|err| CliError::Input(format!("{file}: {err}")))?;
    let settings = Settings::parse(&text, role)
        .map_err(|faults| CliError::Input(faults.in_file(&file).to_string()))?;
    logging::start(&settings.name, args.log).map_err(|err| CliError::Other(err.to_string()))?;
    body(settings).map_err(|err| CliError::Other(err.to_string()))?;
    Ok(std::process::ExitCode::SUCCESS)
}

fn parse(mut args: lexopt::Parser, usage: &str) -> CliResult<Option<Args>> {
    use lexopt::prelude::*;

    let mut settings = None;
    let mut log = LevelFilter::Info;
    while let Some(arg) = args.next()? {
        match arg {
            Long("settings") => settings = Some(PathBuf::from(args.value()?)),
            Long("log") => log = args.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let Some(settings) = settings else {
        return Err(CliError::Usage(usage.to_string()));
    };
    Ok(Some(Args { settings, log }))
}

//! Command line that the `agent` and `balancer` daemons share: the source of
//! the settings (a file or the users' platform), the log level and metrics.

use std::fs;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use log::LevelFilter;
use ramp_platform::settings;
use ramp_platform::store::StoreClient;
use ramp_state::instances::Role;
use ramp_state::settings::Settings;
use ramp_transport::daemon::DaemonError;
use ramp_transport::logging;
use ramp_transport::logging::Stream;
use ramp_transport::passthrough::process_settings::ProcessSettings;
use ramp_transport::signal;

use crate::error::CliError;
use crate::error::CliResult;

/// Source of a daemon's settings.
enum SettingsSource {
    /// A settings file in the project's own format.
    File(PathBuf),
    /// The settings file of the users' platform, whose store also publishes the
    /// configuration.
    Platform,
}

/// Options of a daemon.
struct Args {
    source: SettingsSource,
    log: LevelFilter,
    /// Port for metrics; only used on the users' platform, whose settings file
    /// has none.
    metrics_port: Option<u16>,
}

/// Functions that run a daemon, one for each source of the settings.
pub struct EntryPoints {
    /// Runs with a settings file.
    pub with_settings_file: fn(Settings) -> Result<(), DaemonError>,
    /// Runs on the users' platform.
    pub on_platform: fn(ProcessSettings, StoreClient) -> Result<(), DaemonError>,
}

/// Reads the settings of a daemon of `role` and runs it.
pub fn run(
    args: lexopt::Parser,
    usage: &str,
    role: Role,
    entry_points: &EntryPoints,
) -> CliResult<ExitCode> {
    // First, because SIGTERM may arrive as soon as the process runs.
    signal::install_handlers()?;
    let Some(args) = parse(args, usage)? else {
        print!("{usage}");
        return Ok(ExitCode::SUCCESS);
    };
    let result = match args.source {
        SettingsSource::File(path) => {
            let settings = read_settings(&path, role)?;
            start_logs(&settings.name, args.log)?;
            (entry_points.with_settings_file)(settings)
        }
        SettingsSource::Platform => {
            let mut process_settings =
                settings::load().map_err(|err| CliError::Input(err.to_string()))?;
            process_settings.metrics = args
                .metrics_port
                .map(|port| SocketAddrV4::new(process_settings.ip, port));
            start_logs(&process_settings.name, args.log)?;
            log::info!("started");
            for warning in &process_settings.warnings {
                log::warn!("{warning}");
            }
            let store = StoreClient::new(process_settings.platform);
            (entry_points.on_platform)(process_settings, store)
        }
    };
    logging::flush();
    result.map_err(|err| CliError::Other(err.to_string()))?;
    Ok(ExitCode::SUCCESS)
}

fn read_settings(path: &Path, role: Role) -> CliResult<Settings> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|err| CliError::Input(format!("{file}: {err}")))?;
    Settings::parse(&text, role)
        .map_err(|errors| CliError::Input(errors.in_file(&file).to_string()))
}

fn start_logs(instance: &str, level: LevelFilter) -> CliResult<()> {
    logging::init(instance, level, Stream::Stdout).map_err(|err| CliError::Other(err.to_string()))
}

fn parse(mut args: lexopt::Parser, usage: &str) -> CliResult<Option<Args>> {
    use lexopt::prelude::*;

    let mut source = None;
    let mut log = LevelFilter::Info;
    let mut metrics_port = None;
    while let Some(arg) = args.next()? {
        match arg {
            Long("settings") => {
                source = Some(SettingsSource::File(PathBuf::from(args.value()?)));
            }
            Long("metrics-port") => metrics_port = Some(args.value()?.parse()?),
            Long("on-platform") => source = Some(SettingsSource::Platform),
            Long("log") => log = args.value()?.parse()?,
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let Some(source) = source else {
        return Err(CliError::Usage(usage.to_string()));
    };
    Ok(Some(Args {
        source,
        log,
        metrics_port,
    }))
}

//! `ramplab backend`: runs a simulated backend server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use lexopt::ValueExt;
use ramplab::backend::Backend;
use ramplab::backend::Config;
use ramplab::history::Writer;
use tokio::net::TcpListener;

use crate::cmd::on_local_runtime;
use crate::cmd::wait_for_termination;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Runs a simulated backend server. SIGTERM drains it.

Usage:
    ramplab backend --listen IP:PORT --name NAME [<option>...]

Options:
    --listen IP:PORT      address to listen on for HTTP requests
    --name NAME           server name, sent in the x-server response header
    --service NAME        service that it serves, for the history
    --data-centre NAME    data centre that it runs in, for the history
    --slots N             concurrent requests when warm [5]
    --connections N       maximum number of open connections [2000]
    --service-ms N        time to serve a request, in milliseconds [20]
    --cold                start cold: one request at a time
    --warm-after N        finished requests after which it is warm [50]
    --lag-ms N            age of its load reports, in milliseconds [0]
    --lie F               share of load reports that are false, 0 to 1 [0]
    --seed N              seed of the random number generator [0]
    --history FILE        file to append events to
    --ready-file FILE     file to write IP:PORT to once the port is open

Endpoints:
    GET /feed?id=&every_ms=&events=    stream of numbered events
    POST /claim                        runs {\"claim\": ID}, returns a receipt
    POST /upload?id=                   returns length and hash of the body
    GET /balance?id=&bytes=            returns bytes derived from id
    GET /health, GET /load             health check and load report
    PUT /cold                          enters cold start without warning

`attempt=` and `service=` in a query are recorded in the history.
";

struct Args {
    listen: SocketAddr,
    cfg: Config,
    history: Option<PathBuf>,
    ready_file: Option<PathBuf>,
}

/// Parses the arguments and serves until a termination signal.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let args = parse(args)?;
    on_local_runtime(serve(args))
}

fn parse(mut parser: lexopt::Parser) -> CliResult<Args> {
    use lexopt::Arg::Long;
    let mut listen = None;
    let mut history = None;
    let mut ready_file = None;
    let mut cfg = Config {
        name: String::new(),
        service: String::new(),
        data_centre: String::new(),
        slots: 5,
        max_connections: 2000,
        service_time: Duration::from_millis(20),
        cold: false,
        warm_after: 50,
        report_lag: Duration::ZERO,
        false_report_share: 0.0,
        seed: 0,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("listen") => listen = Some(parser.value()?.parse()?),
            Long("name") => cfg.name = parser.value()?.parse()?,
            Long("service") => cfg.service = parser.value()?.parse()?,
            Long("data-centre") => cfg.data_centre = parser.value()?.parse()?,
            Long("slots") => cfg.slots = parser.value()?.parse()?,
            Long("connections") => cfg.max_connections = parser.value()?.parse()?,
            Long("service-ms") => cfg.service_time = millis(&mut parser)?,
            Long("cold") => cfg.cold = true,
            Long("warm-after") => cfg.warm_after = parser.value()?.parse()?,
            Long("lag-ms") => cfg.report_lag = millis(&mut parser)?,
            Long("lie") => cfg.false_report_share = parser.value()?.parse()?,
            Long("seed") => cfg.seed = parser.value()?.parse()?,
            Long("history") => history = Some(parser.value()?.into()),
            Long("ready-file") => ready_file = Some(parser.value()?.into()),
            Long("help") => return Err(CliError::Usage(USAGE.to_string())),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let Some(listen) = listen else {
        return Err(CliError::Usage(USAGE.to_string()));
    };
    Ok(Args {
        listen,
        cfg,
        history,
        ready_file,
    })
}

fn millis(parser: &mut lexopt::Parser) -> CliResult<Duration> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}

async fn serve(args: Args) -> CliResult<ExitCode> {
    let listener = TcpListener::bind(args.listen).await?;
    let history = match &args.history {
        Some(path) => Some(Writer::create(path, args.cfg.name.clone())?),
        None => None,
    };
    let local = listener.local_addr()?;
    let backend = Rc::new(Backend::new(args.cfg, history));
    super::write_ready_file(args.ready_file.as_deref(), &format!("{local}\n"))?;
    let stop = async {
        let _ = wait_for_termination().await;
    };
    backend.serve(listener, stop).await;
    Ok(ExitCode::SUCCESS)
}

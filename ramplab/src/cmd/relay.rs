//! `ramplab relay`: stands between processes of different data centres.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use lexopt::ValueExt;
use ramplab::history::Writer;
use ramplab::relay;
use ramplab::relay::Relay;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::cmd::on_local_runtime;
use crate::cmd::until_terminated;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Stands between processes: what comes to a listed address goes on to the bound
one, later when it comes from another data centre. A data centre is told by the
first three parts of an address.

Usage:
    ramplab relay --address LISTED=BOUND... --control LISTED=BOUND... [<option>...]

Options:
    --address L=B       packets (UDP) and requests (TCP); repeatable
    --control L=B       control messages (UDP) and operator calls (TCP), which
                        are not noted; repeatable
    --delay-ms F        time between data centres, one way [0]
    --cuts IP:PORT      where `PUT /cuts` replaces the cuts, one a line, as two
                        networks such as `127.20.1 127.20.2`
    --history FILE      where arrivals are appended
    --ready-file FILE   written once all ports are open
";

/// A listed address and the bound one behind it.
#[derive(Clone, Copy)]
struct Pair {
    listed: SocketAddr,
    bound: SocketAddr,
}

impl FromStr for Pair {
    type Err = String;

    fn from_str(text: &str) -> Result<Pair, String> {
        let parts = text.split_once('=');
        let parsed = parts.and_then(|(l, b)| Some((l.parse().ok()?, b.parse().ok()?)));
        let Some((listed, bound)) = parsed else {
            return Err(format!("`{text}` is not IP:PORT=IP:PORT"));
        };
        Ok(Pair { listed, bound })
    }
}

#[derive(Default)]
struct Args {
    addresses: Vec<Pair>,
    controls: Vec<Pair>,
    delay: Duration,
    cuts: Option<SocketAddr>,
    history: Option<PathBuf>,
    ready_file: Option<PathBuf>,
}

/// Runs the command.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let args = parse(args)?;
    on_local_runtime(serve(args))
}

fn parse(mut parser: lexopt::Parser) -> CliResult<Args> {
    use lexopt::Arg::Long;
    let mut args = Args::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("address") => args.addresses.push(parser.value()?.parse()?),
            Long("control") => args.controls.push(parser.value()?.parse()?),
            Long("delay-ms") => {
                let ms: f64 = parser.value()?.parse()?;
                args.delay = Duration::from_secs_f64(ms / 1000.0);
            }
            Long("cuts") => args.cuts = Some(parser.value()?.parse()?),
            Long("history") => args.history = Some(parser.value()?.into()),
            Long("ready-file") => args.ready_file = Some(parser.value()?.into()),
            Long("help") => return Err(CliError::Usage(USAGE.to_string())),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(args)
}

async fn serve(args: Args) -> CliResult<ExitCode> {
    let history = match &args.history {
        Some(path) => Some(Writer::create(path, "relay")?),
        None => None,
    };
    let relay = Relay::new(args.delay, history);
    let addresses = args.addresses.iter().map(|pair| (pair, true));
    let controls = args.controls.iter().map(|pair| (pair, false));
    for (pair, noted) in addresses.chain(controls) {
        let socket = UdpSocket::bind(pair.listed).await?;
        spawn_local(relay::udp::serve(relay.clone(), socket, pair.bound));
        let listener = TcpListener::bind(pair.listed).await?;
        spawn_local(relay::tcp::serve(
            relay.clone(),
            listener,
            pair.bound,
            noted,
        ));
    }
    if let Some(cuts) = args.cuts {
        let listener = TcpListener::bind(cuts).await?;
        spawn_local(relay::control::serve(relay.clone(), listener));
    }
    super::write_ready(args.ready_file.as_deref(), "ready\n")?;
    until_terminated().await?;
    Ok(ExitCode::SUCCESS)
}

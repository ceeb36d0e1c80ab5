//! `ramplab relay`: forwards traffic between processes, with the delay between data
//! centres and with network partitions.

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
use crate::cmd::wait_for_termination;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Forwards traffic from the address that the instance list names for a process to
the address that it is bound to, with a delay when it comes from another data
centre. The first three octets of an address identify the data centre.

Usage:
    ramplab relay --address LISTED=BOUND... --control LISTED=BOUND... [<option>...]

Options:
    --address L=B       packets (UDP) and requests (TCP); repeatable
    --control L=B       control messages (UDP) and operator calls (TCP), which
                        are not recorded; repeatable
    --delay-ms F        one-way delay between data centres [0]
    --cuts IP:PORT      address where `PUT /cuts` replaces the cuts: one per line,
                        as two networks such as `127.20.1 127.20.2`
    --history FILE      file to append arrivals to
    --ready-file FILE   file to write once all ports are open
";

/// Address in the instance list and the address to which the process is bound.
#[derive(Clone, Copy)]
struct AddressMapping {
    listed: SocketAddr,
    bound: SocketAddr,
}

impl FromStr for AddressMapping {
    type Err = String;

    fn from_str(text: &str) -> Result<AddressMapping, String> {
        let parts = text.split_once('=');
        let parsed = parts.and_then(|(l, b)| Some((l.parse().ok()?, b.parse().ok()?)));
        let Some((listed, bound)) = parsed else {
            return Err(format!("`{text}` is not IP:PORT=IP:PORT"));
        };
        Ok(AddressMapping { listed, bound })
    }
}

#[derive(Default)]
struct Args {
    addresses: Vec<AddressMapping>,
    controls: Vec<AddressMapping>,
    delay: Duration,
    cuts: Option<SocketAddr>,
    history: Option<PathBuf>,
    ready_file: Option<PathBuf>,
}

/// Parses the arguments and runs the relay until a termination signal.
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
    let addresses = args.addresses.iter().map(|mapping| (mapping, true));
    let controls = args.controls.iter().map(|mapping| (mapping, false));
    for (mapping, recorded) in addresses.chain(controls) {
        let socket = UdpSocket::bind(mapping.listed).await?;
        spawn_local(relay::udp::serve(relay.clone(), socket, mapping.bound));
        let listener = TcpListener::bind(mapping.listed).await?;
        spawn_local(relay::tcp::serve(
            relay.clone(),
            listener,
            mapping.bound,
            recorded,
        ));
    }
    if let Some(cuts) = args.cuts {
        let listener = TcpListener::bind(cuts).await?;
        spawn_local(relay::control::serve(relay.clone(), listener));
    }
    super::write_ready_file(args.ready_file.as_deref(), "ready\n")?;
    wait_for_termination().await?;
    Ok(ExitCode::SUCCESS)
}

//! `ramplab fabric`: sprays callers' packets over the balancers.

use std::fmt::Write;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use lexopt::ValueExt;
use ramplab::fabric::Fabric;
use ramplab::fabric::link::Faults;
use ramplab::fabric::watch;
use ramplab::history::Writer;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::cmd::on_local_runtime;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Stands in for the fabric: carries callers' connections as IP packets in UDP,
each packet to a balancer picked at random.

Usage:
    ramplab fabric --packets IP:PORT --service SERVICE_ADDR=LOCAL_ADDR...
                   (--platform IP:PORT | --balancer IP:PORT...) [<option>...]

Options:
    --packets IP:PORT    where packets from agents come in (UDP)
    --service S=L        callers of service address S connect to local address
                         L (port 0: one that the kernel picks); repeatable
    --platform IP:PORT   platform whose instance list names the balancers
    --balancer IP:PORT   a balancer, for runs without a platform; repeatable
    --seed N             seed of all random choices [0]
    --lose F             share of packets lost, 0 to 1 [0]
    --duplicate F        share of packets delivered twice [0]
    --reorder F          share of packets delivered late [0]
    --delay-ms F         time each packet takes one way [0]
    --keep-alive-ms N    callers' keep-alive period, 0 for none [2000]
    --counts IP:PORT     where `GET /counts` tells what passed
    --history FILE       where the end of each connection is appended
    --ready-file FILE    written once all ports are open, one line a service:
                         SERVICE_ADDR LOCAL_ADDR
";

/// A service address and the local address that stands for it.
#[derive(Clone, Copy)]
struct Mapping {
    service: SocketAddrV4,
    local: SocketAddr,
}

impl FromStr for Mapping {
    type Err = String;

    fn from_str(text: &str) -> Result<Mapping, String> {
        let parts = text.split_once('=');
        let parsed = parts.and_then(|(s, l)| Some((s.parse().ok()?, l.parse().ok()?)));
        let Some((service, local)) = parsed else {
            return Err(format!("`{text}` is not SERVICE_IP:PORT=LOCAL_IP:PORT"));
        };
        Ok(Mapping { service, local })
    }
}

struct Args {
    packets: SocketAddr,
    services: Vec<Mapping>,
    platform: Option<SocketAddr>,
    balancers: Vec<SocketAddrV4>,
    seed: u64,
    faults: Faults,
    keep_alive_ms: u64,
    counts: Option<SocketAddr>,
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
    let mut packets = None;
    let mut args = Args {
        packets: SocketAddr::from(([127, 0, 0, 1], 0)),
        services: Vec::new(),
        platform: None,
        balancers: Vec::new(),
        seed: 0,
        faults: Faults::default(),
        keep_alive_ms: 2000,
        counts: None,
        history: None,
        ready_file: None,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("packets") => packets = Some(parser.value()?.parse()?),
            Long("service") => args.services.push(parser.value()?.parse()?),
            Long("platform") => args.platform = Some(parser.value()?.parse()?),
            Long("balancer") => args.balancers.push(parser.value()?.parse()?),
            Long("seed") => args.seed = parser.value()?.parse()?,
            Long("lose") => args.faults.lose = parser.value()?.parse()?,
            Long("duplicate") => args.faults.duplicate = parser.value()?.parse()?,
            Long("reorder") => args.faults.reorder = parser.value()?.parse()?,
            Long("delay-ms") => {
                let ms: f64 = parser.value()?.parse()?;
                args.faults.delay = Duration::from_secs_f64(ms / 1000.0);
            }
            Long("keep-alive-ms") => args.keep_alive_ms = parser.value()?.parse()?,
            Long("counts") => args.counts = Some(parser.value()?.parse()?),
            Long("history") => args.history = Some(parser.value()?.into()),
            Long("ready-file") => args.ready_file = Some(parser.value()?.into()),
            Long("help") => return Err(CliError::Usage(USAGE.to_string())),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let Some(packets) = packets else {
        return Err(CliError::Usage(USAGE.to_string()));
    };
    args.packets = packets;
    Ok(args)
}

async fn serve(args: Args) -> CliResult<ExitCode> {
    let socket = UdpSocket::bind(args.packets).await?;
    let fabric = Fabric::new(socket, args.faults, args.keep_alive_ms, args.seed);
    fabric.set_balancers(args.balancers);
    if let Some(path) = &args.history {
        fabric.set_history(Writer::create(path, "fabric")?);
    }
    let mut ready = String::new();
    for mapping in &args.services {
        let listener = TcpListener::bind(mapping.local).await?;
        let local = listener.local_addr()?;
        let _ = writeln!(ready, "{} {local}", mapping.service);
        spawn_local(fabric.clone().listen(listener, mapping.service));
    }
    spawn_local(fabric.clone().receive());
    spawn_local(fabric.clone().deliver_late());
    if let Some(platform) = args.platform {
        spawn_local(watch::follow(Rc::clone(&fabric), platform));
    }
    if let Some(counts) = args.counts {
        let listener = TcpListener::bind(counts).await?;
        spawn_local(watch::serve_counts(Rc::clone(&fabric), listener));
    }
    super::write_ready(args.ready_file.as_deref(), &ready)?;
    super::until_terminated().await?;
    Ok(ExitCode::SUCCESS)
}

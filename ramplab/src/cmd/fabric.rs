//! `ramplab fabric`: runs the simulated network fabric, which distributes callers'
//! packets over the balancers.

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
use ramplab::fabric::instance_list;
use ramplab::fabric::link::Faults;
use ramplab::history::Writer;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::cmd::on_local_runtime;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Simulates the network fabric: forwards callers' connections as IP packets over
UDP, each packet to a balancer picked at random.

Usage:
    ramplab fabric --packets IP:PORT --service SERVICE_ADDR=LOCAL_ADDR...
                   (--platform IP:PORT | --balancer IP:PORT...) [<option>...]

Options:
    --packets IP:PORT    UDP address to exchange packets with the fleet on
    --service S=L        local address L on which callers connect to service
                         address S (port 0: chosen by the kernel); repeatable
    --platform IP:PORT   platform whose instance list names the balancers
    --balancer IP:PORT   a balancer, for runs without a platform; repeatable
    --seed N             seed of the random number generators [0]
    --lose F             share of packets lost, 0 to 1 [0]
    --duplicate F        share of packets delivered twice [0]
    --reorder F          share of packets delivered late [0]
    --delay-ms F         one-way delay of each packet [0]
    --keep-alive-ms N    callers' TCP keep-alive interval, 0 for none [2000]
    --counts IP:PORT     address that serves packet counts as `GET /counts`
    --history FILE       file to append an event to for each connection's end
    --ready-file FILE    file to write once all ports are open, with one line per
                         service: SERVICE_ADDR LOCAL_ADDR
";

/// A service address and the local address on which callers reach it.
#[derive(Clone, Copy)]
struct AddressMapping {
    service: SocketAddrV4,
    local: SocketAddr,
}

impl FromStr for AddressMapping {
    type Err = String;

    fn from_str(text: &str) -> Result<AddressMapping, String> {
        let parts = text.split_once('=');
        let parsed = parts.and_then(|(s, l)| Some((s.parse().ok()?, l.parse().ok()?)));
        let Some((service, local)) = parsed else {
            return Err(format!("`{text}` is not SERVICE_IP:PORT=LOCAL_IP:PORT"));
        };
        Ok(AddressMapping { service, local })
    }
}

struct Args {
    packets: SocketAddr,
    services: Vec<AddressMapping>,
    platform: Option<SocketAddr>,
    balancers: Vec<SocketAddrV4>,
    seed: u64,
    faults: Faults,
    keep_alive_ms: u64,
    counts: Option<SocketAddr>,
    history: Option<PathBuf>,
    ready_file: Option<PathBuf>,
}

/// Parses the arguments and runs the fabric until a termination signal.
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
    spawn_local(fabric.clone().deliver_delayed());
    if let Some(platform) = args.platform {
        spawn_local(instance_list::follow_instance_list(
            Rc::clone(&fabric),
            platform,
        ));
    }
    if let Some(counts) = args.counts {
        let listener = TcpListener::bind(counts).await?;
        spawn_local(instance_list::serve_counts(Rc::clone(&fabric), listener));
    }
    super::write_ready_file(args.ready_file.as_deref(), &ready)?;
    super::wait_for_termination().await?;
    Ok(ExitCode::SUCCESS)
}

//! `ramplab load`: generates load as callers do and checks every response.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use lexopt::ValueExt;
use ramplab::history::Writer;
use ramplab::load::Config;
use ramplab::load::LoadGenerator;
use ramplab::load::Target;

use crate::cmd::on_local_runtime;
use crate::cmd::wait_for_termination;
use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "\
Simulates callers: long feeds, claims, uploads and balances, and checks each
response. Progress goes to stderr, the counts as JSON to stdout at the end.

Usage:
    ramplab load --service NAME=LOCAL_ADDR... [<option>...]

Options:
    --service NAME=ADDR    a service and the fabric's local port for it; feeds,
                           claims and balances go to the first, uploads to the
                           last; repeatable
    --feeds N              feeds open at once [0]
    --warm-up-ms N         delay before the first feed is opened [0]
    --feed-every-ms N      interval between the events of a feed [250]
    --claims-per-s F       claims per second [0]
    --uploads-per-s F      uploads per second [0]
    --upload-bytes N       length of an upload [262144]
    --balances-per-s F     balances per second [0]
    --balance-bytes N      maximum length of a balance response [20000]
    --deadline-ms N        deadline of each request [5000]
    --seconds F            duration of the load [10]
    --seed N               seed of the random number generator [0]
    --history FILE         file to append events to
";

struct Args {
    cfg: Config,
    history: Option<PathBuf>,
}

/// Parses the arguments, generates the load and prints the counts.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let args = parse(args)?;
    on_local_runtime(send(args))
}

fn parse(mut parser: lexopt::Parser) -> CliResult<Args> {
    use lexopt::Arg::Long;
    let mut history = None;
    let mut cfg = Config {
        targets: Vec::new(),
        feeds: 0,
        warm_up: Duration::ZERO,
        feed_period: Duration::from_millis(250),
        claims_per_s: 0.0,
        uploads_per_s: 0.0,
        upload_len_bytes: 256 * 1024,
        balances_per_s: 0.0,
        max_balance_len_bytes: 20_000,
        duration: Duration::from_secs(10),
        deadline: Duration::from_secs(5),
        seed: 0,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("service") => cfg.targets.push(parser.value()?.parse_with(target)?),
            Long("feeds") => cfg.feeds = parser.value()?.parse()?,
            Long("warm-up-ms") => {
                cfg.warm_up = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("feed-every-ms") => {
                cfg.feed_period = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("claims-per-s") => cfg.claims_per_s = parser.value()?.parse()?,
            Long("uploads-per-s") => cfg.uploads_per_s = parser.value()?.parse()?,
            Long("upload-bytes") => cfg.upload_len_bytes = parser.value()?.parse()?,
            Long("balances-per-s") => cfg.balances_per_s = parser.value()?.parse()?,
            Long("balance-bytes") => cfg.max_balance_len_bytes = parser.value()?.parse()?,
            Long("deadline-ms") => {
                cfg.deadline = Duration::from_millis(parser.value()?.parse()?);
            }
            Long("seconds") => cfg.duration = Duration::from_secs_f64(parser.value()?.parse()?),
            Long("seed") => cfg.seed = parser.value()?.parse()?,
            Long("history") => history = Some(parser.value()?.into()),
            Long("help") => return Err(CliError::Usage(USAGE.to_string())),
            _ => return Err(arg.unexpected().into()),
        }
    }
    if cfg.targets.is_empty() {
        return Err(CliError::Usage(USAGE.to_string()));
    }
    Ok(Args { cfg, history })
}

fn target(text: &str) -> Result<Target, String> {
    let parts = text.split_once('=');
    let Some((name, Ok(address))) = parts.map(|(name, address)| (name, address.parse())) else {
        return Err(format!("`{text}` is not NAME=IP:PORT"));
    };
    Ok(Target {
        name: name.to_string(),
        address,
    })
}

async fn send(args: Args) -> CliResult<ExitCode> {
    let history = match &args.history {
        Some(path) => Some(Writer::create(path, "load")?),
        None => None,
    };
    let stop = async {
        let _ = wait_for_termination().await;
    };
    let counts = LoadGenerator::new(args.cfg, history).run(stop).await;
    println!("{}", serde_json::json!(counts));
    Ok(ExitCode::SUCCESS)
}

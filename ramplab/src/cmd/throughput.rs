//! `ramplab throughput`: compares a balancer's packet rate with a plain relay's.

use std::process::ExitCode;

use ramplab::throughput;

use crate::error::CliResult;

const USAGE: &str = "\
Measures packets per second over loopback through a balancer's traffic thread,
and through a relay that makes no routing decisions on the same kind of sockets;
one after the other, five times. The table has 340 services of 12 servers.

Usage:
    ramplab throughput

Options:
    -h, --help  show this text
";

/// Number of relay and balancer run pairs; the median ratio is printed last.
const RUN_PAIRS: usize = 5;

/// Runs the benchmark and prints each pair of rates.
pub fn run(mut args: lexopt::Parser) -> CliResult<ExitCode> {
    if let Some(arg) = args.next()? {
        let (lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) = arg else {
            return Err(arg.unexpected().into());
        };
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    }
    let mut ratios = Vec::new();
    for _ in 0..RUN_PAIRS {
        let pair = throughput::measure()?;
        println!(
            "relay {:>9.0}/s  balancer {:>9.0}/s  ratio {:.3}",
            pair.relay_packets_per_s,
            pair.balancer_packets_per_s,
            pair.ratio()
        );
        ratios.push(pair.ratio());
    }
    ratios.sort_by(f64::total_cmp);
    println!("median ratio {:.3}", ratios[RUN_PAIRS / 2]);
    Ok(ExitCode::SUCCESS)
}

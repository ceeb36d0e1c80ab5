//! `ramplab throughput`: a balancer's packets a second against a relay's.

use std::process::ExitCode;

use ramplab::throughput;

use crate::error::CliResult;

const USAGE: &str = "\
Sends packets over loopback through a balancer's traffic thread, and through a
relay without decisions on the same kind of sockets; both one after the other,
five times. The table has 340 services of 12 servers.

Usage:
    ramplab throughput

Options:
    -h, --help  show this text
";

/// Pairs of runs.
const RUNS: usize = 5;

/// Runs the command.
pub fn run(mut args: lexopt::Parser) -> CliResult<ExitCode> {
    if let Some(arg) = args.next()? {
        let (lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) = arg else {
            return Err(arg.unexpected().into());
        };
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    }
    let mut ratios = Vec::new();
    for _ in 0..RUNS {
        let pair = throughput::measure()?;
        println!(
            "relay {:>9.0}/s  balancer {:>9.0}/s  ratio {:.3}",
            pair.relay,
            pair.balancer,
            pair.ratio()
        );
        ratios.push(pair.ratio());
    }
    ratios.sort_by(f64::total_cmp);
    println!("median ratio {:.3}", ratios[RUNS / 2]);
    Ok(ExitCode::SUCCESS)
}

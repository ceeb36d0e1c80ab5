//! `status` subcommand: shows the state of all processes, and whether one
//! configuration version is in force at all of them.

use std::process::ExitCode;

use crate::error::CliError;
use crate::error::CliResult;
use crate::query::Targets;
use crate::runtime;
use crate::status::build;
use crate::status::member_views::MemberViews;
use crate::status::text;

const USAGE: &str = "\
Shows versions, members, limits, flows, cold servers, and drains with the time
they may still take.

Usage:
    bramleyramp status --platform IP:PORT [<option>...]
    bramleyramp status --process IP:PORT... [<option>...]

Exit code: 0 when all processes asked have answered and one version is in
force at all of them, 1 otherwise.

Options:
    --platform IP:PORT  Ask all processes that this replica of the platform
                        lists, and those of the fleet document.
    --process IP:PORT   Ask the process with this control address. May be
                        given more than once.
    --json              Print JSON instead of text.
    -h, --help          Show this text.
";

struct Args {
    targets: Targets,
    json: bool,
}

/// Runs `status` with the arguments after its name.
pub fn run(args: lexopt::Parser) -> CliResult<ExitCode> {
    let Some(args) = parse(args)? else {
        print!("{USAGE}");
        return Ok(ExitCode::SUCCESS);
    };
    let mut member_views = MemberViews::default();
    let query = args
        .targets
        .query(&[], |process_report| member_views.add(process_report));
    let results = runtime::block_on(query)?;
    let overview = build::overview(&results, member_views);
    match args.json {
        true => println!("{}", serde_json::to_string_pretty(&overview)?),
        false => print!("{}", text::render(&overview)),
    }
    match overview.in_force {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

fn parse(mut args: lexopt::Parser) -> CliResult<Option<Args>> {
    use lexopt::prelude::*;

    let mut parsed = Args {
        targets: Targets::default(),
        json: false,
    };
    while let Some(arg) = args.next()? {
        match arg {
            Long("json") => parsed.json = true,
            Long("help") | Short('h') => return Ok(None),
            Long(name) => {
                let name = name.to_string();
                if !parsed.targets.parse_option(&name, &mut args)? {
                    return Err(Long(&name).unexpected().into());
                }
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    if parsed.targets.is_empty() {
        return Err(CliError::Usage(USAGE.to_string()));
    }
    Ok(Some(parsed))
}

//! The command line of the soak.

use std::env;
use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::process;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::ValueEnum;
use clap::value_parser;
use soak::fault::Kind;
use soak::plan::Plan;
use soak::plot;
use soak::regression;
use tokio::runtime::Builder;
use wire::clock::Millis;

/// The outcome of a run; an error is printed for the user.
type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// The worker threads of the soak; the processes under test need the rest of the machine.
const WORKER_THREADS: usize = 2;

/// The part of the help that explains why no clock is skewed.
const CLOCKS: &str = "No clock is skewed: the processes read the time of day once, when they start, \
    and count from there; what they tell each other and keep are spans of time.";

fn command() -> Command {
    let count = |name: &'static str, default: &'static str, help: &'static str| {
        let count = Arg::new(name).long(name).default_value(default).help(help);
        count.value_parser(value_parser!(usize))
    };
    Command::new("soak")
        .about("Runs real processes under faults and checks what clients and runners see")
        .after_help(CLOCKS)
        .arg(
            Arg::new("seed")
                .long("seed")
                .required_unless_present("regressions")
                .value_parser(value_parser!(u64))
                .help("Seed of the faults and of the requests of clients"),
        )
        .arg(
            Arg::new("for")
                .long("for")
                .default_value("60s")
                .value_parser(span)
                .help("How long clients send requests, in seconds"),
        )
        .arg(count("vms", "6", "VMs that take callers"))
        .arg(count("runners", "6", "Runners"))
        .arg(count("clients", "24", "Clients"))
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_delimiter(',')
                .value_parser(value_parser!(Kind))
                .help("Kinds of faults to apply; all kinds if none is given"),
        )
        .arg(path(
            "binary",
            "The product's binary; by default the one in the folder of the soak's own binary",
        ))
        .arg(path(
            "folder",
            "Folder for settings, logs and disks; by default a temporary one, removed after a clean run",
        ))
        .arg(path("regressions", "Repeats the runs of this file instead").conflicts_with("seed"))
        .arg(path("svg", "Draws the report's timeline into this file"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Writes the report as JSON"),
        )
}

fn path(name: &'static str, help: &'static str) -> Arg {
    let path = Arg::new(name).long(name).value_name("PATH").help(help);
    path.value_parser(value_parser!(PathBuf))
}

fn span(text: &str) -> std::result::Result<Millis, String> {
    let seconds = text.trim_end_matches('s').parse::<u64>();
    let seconds = seconds.map_err(|fault| fault.to_string())?;
    Ok(Millis::new(seconds * 1_000))
}

fn main() -> ExitCode {
    match play(&command().get_matches()) {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn plan(matches: &ArgMatches, seed: u64) -> Result<Plan> {
    let number = |name: &str| matches.get_one::<usize>(name).copied();
    let named = matches.get_many::<Kind>("faults");
    let name = format!("soak-{seed}-{}", process::id());
    let folder = matches.get_one::<PathBuf>("folder").cloned();
    let binary = match matches.get_one::<PathBuf>("binary") {
        Some(binary) => binary.clone(),
        None => env::current_exe()?.with_file_name("chestnutyoke"),
    };
    Ok(Plan {
        binary,
        folder: folder.unwrap_or_else(|| env::temp_dir().join(name)),
        seed,
        span: *matches.get_one("for").ok_or("no span")?,
        vms: number("vms").ok_or("no number of VMs")?,
        runners: number("runners").ok_or("no number of runners")?,
        clients: number("clients").ok_or("no number of clients")?,
        kinds: named.map_or_else(
            || Kind::value_variants().to_vec(),
            |named| named.copied().collect(),
        ),
    })
}

fn play(matches: &ArgMatches) -> Result<ExitCode> {
    let Some(file) = matches.get_one::<PathBuf>("regressions") else {
        let seed = *matches.get_one("seed").ok_or("no seed")?;
        return play_one(matches, &plan(matches, seed)?);
    };
    let mut code = ExitCode::SUCCESS;
    for (at, run) in regression::parse(&fs::read_to_string(file)?)?
        .iter()
        .enumerate()
    {
        let Plan { binary, folder, .. } = plan(matches, run.seed)?;
        let folder = folder.join(format!("run-{at}"));
        let plan = run.plan(binary, folder, Millis::new(u64::MAX));
        if play_one(matches, &plan)? != ExitCode::SUCCESS {
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}

fn play_one(matches: &ArgMatches, plan: &Plan) -> Result<ExitCode> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let report = runtime.block_on(soak::run(plan))?;
    // Dropping the runtime ends the processes before their folder is removed.
    drop(runtime);
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if let Some(file) = matches.get_one::<PathBuf>("svg") {
        plot::draw(&report, file)?;
    }
    if !report.is_clean() {
        eprintln!("settings, logs and disks: {}", plan.folder.display());
        return Ok(ExitCode::FAILURE);
    }
    if !matches.contains_id("folder") {
        fs::remove_dir_all(&plan.folder)?;
    }
    Ok(ExitCode::SUCCESS)
}

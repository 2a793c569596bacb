//! The command line: its arguments, and the subcommands that it dispatches to.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use relay::signals::Reloads;

use crate::commands::change;
use crate::commands::check;
use crate::commands::show;
use crate::commands::trace;
use crate::embedded;
use crate::logging;
use crate::serve;

pub mod operate;

/// The result of a subcommand; the error is printed for the person who ran it.
pub type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Parses the command line and runs the subcommand.
#[must_use]
pub fn run() -> ExitCode {
    match dispatch(&command().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("chestnutyoke")
        .about("A scheduler for agent programs")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(try_command())
        .subcommand(serve_command())
        .subcommand(check_command())
        .subcommand(role_command(
            "front",
            "Accepts requests of clients, routes them and calls the runners",
        ))
        .subcommand(role_command(
            "store",
            "Stores turns and spent tokens on this VM's disk",
        ))
        .subcommand(trace_command())
        .subcommands(operate::commands())
}

fn try_command() -> Command {
    let port = |name: &'static str, default: &'static str, help: &'static str| {
        let port = Arg::new(name)
            .long(name)
            .value_name("PORT")
            .default_value(default);
        port.value_parser(value_parser!(u16)).help(help)
    };
    Command::new("try")
        .about("Runs a node with stand-ins for platform and endpoints in one process on loopback")
        .arg(port(
            "port",
            "8080",
            "Port for callers; 0 picks a free port",
        ))
        .arg(port(
            "admin-port",
            "8082",
            "Port for operators; 0 picks a free port",
        ))
}

fn serve_command() -> Command {
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    Command::new("serve")
        .about("Runs this VM's node")
        .arg(settings_arg())
        .arg(json.help("Writes the log as JSON"))
}

fn check_command() -> Command {
    let print = Arg::new("print").long("print").action(ArgAction::SetTrue);
    Command::new("check")
        .about("Lists all errors in a settings file")
        .arg(settings_arg())
        .arg(print.help("Prints the effective settings, including defaults"))
}

fn role_command(name: &'static str, about: &'static str) -> Command {
    let settings = format!(
        "The environment variable {} names the settings file.",
        adapter::settings::VARIABLE
    );
    Command::new(name).about(about).after_help(settings).arg(
        Arg::new("metrics-port")
            .long("metrics-port")
            .value_name("PORT")
            .default_value("9400")
            .value_parser(value_parser!(u16))
            .help("Port for counters and latency histograms, on the VM's IP address"),
    )
}

fn trace_command() -> Command {
    let late = Arg::new("late").long("late").action(ArgAction::SetTrue);
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    Command::new("trace")
        .about("Prints the timeline of a request or program from the logs of many VMs")
        .arg(late.help("Prints instead where programs that ended late or failed spent their time"))
        .arg(json.help("Writes JSON"))
        .arg(
            Arg::new("id")
                .value_name("ID")
                .required_unless_present("late")
                .help("The id of a request or program; with --late, a log file"),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files, each named after its VM; standard input if there are none"),
        )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The VM's settings file")
}

fn dispatch(matches: &ArgMatches) -> Result<()> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    match name {
        "try" => run_try(matches),
        "serve" => run_serve(matches),
        "check" => run_check(matches),
        "front" => run_role(Role::Front, matches),
        "store" => run_role(Role::Store, matches),
        "trace" => run_trace(matches),
        _ => runtime()?.block_on(run_operate(name, matches)),
    }
}

async fn run_operate(name: &str, matches: &ArgMatches) -> Result<()> {
    let target = operate::target(matches)?;
    match operate::parse(name, matches)? {
        operate::Action::Change(edit) => change::run(&target, &edit).await?,
        operate::Action::Show(view) => show::run(&target, &view).await?,
        operate::Action::End(program) => show::end(&target, &program).await?,
    }
    Ok(())
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?)
}

fn run_try(matches: &ArgMatches) -> Result<()> {
    let port = *matches.get_one("port").ok_or("--port is missing")?;
    let admin = *matches
        .get_one("admin-port")
        .ok_or("--admin-port is missing")?;
    runtime()?.block_on(embedded::run(port, admin))
}

/// The role of a process on a small VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Front,
    Store,
}

/// Runs a role on one thread: its VM has a fraction of one core, so threads wouldn't run in
/// parallel.
fn run_role(role: Role, matches: &ArgMatches) -> Result<()> {
    let port = *matches
        .get_one("metrics-port")
        .ok_or("--metrics-port is missing")?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let reloads = {
        let _entered = runtime.enter();
        Reloads::catch()?
    };
    let settings = adapter::settings::load()?;
    let _logger = link::output::start(log::LevelFilter::Info)?;
    match role {
        Role::Front => runtime.block_on(relay::front::run(settings, port, reloads))?,
        Role::Store => runtime.block_on(relay::store::run(settings, port, reloads))?,
    }
    Ok(())
}

fn run_trace(matches: &ArgMatches) -> Result<()> {
    let id: Option<&String> = matches.get_one("id");
    let logs = matches.get_many("logs").unwrap_or_default();
    let mut logs: Vec<PathBuf> = logs.cloned().collect();
    let query = if matches.get_flag("late") {
        logs.splice(0..0, id.map(PathBuf::from));
        trace::Query::Late
    } else {
        trace::Query::Timeline(
            id.ok_or("the id of a request or program is missing")?
                .clone(),
        )
    };
    let format = if matches.get_flag("json") {
        operate::Format::Json
    } else {
        operate::Format::Table
    };
    trace::run(&query, &logs, format)
}

fn run_serve(matches: &ArgMatches) -> Result<()> {
    let path: &PathBuf = matches.get_one("settings").ok_or("--settings is missing")?;
    let format = if matches.get_flag("json") {
        logging::Format::Json
    } else {
        logging::Format::Text
    };
    let settings = check::load(path)?;
    runtime()?.block_on(serve::run(settings, format))
}

fn run_check(matches: &ArgMatches) -> Result<()> {
    let path: &PathBuf = matches.get_one("settings").ok_or("--settings is missing")?;
    let settings = check::load(path)?;
    if matches.get_flag("print") {
        print!("{}", check::print(&settings)?);
        return Ok(());
    }
    println!("{}: no faults", path.display());
    Ok(())
}

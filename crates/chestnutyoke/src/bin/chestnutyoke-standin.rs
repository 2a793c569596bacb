//! The stand-ins' command line: one stand-in a process.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use standin::http::Server;
use tokio::net::TcpListener;
use wire::clock::Clock;
use wire::clock::Millis;

/// Why a stand-in doesn't start.
#[derive(Debug, Display, Error, From)]
enum Fault {
    /// The network refuses.
    #[display("can't listen: {_0}")]
    Listen(std::io::Error),
    /// The log can't be set up.
    #[display("can't log: {_0}")]
    Log(flexi_logger::FlexiLoggerError),
}

type Result<T> = std::result::Result<T, Fault>;

#[tokio::main]
async fn main() -> ExitCode {
    match run(&command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("chestnutyoke-standin: {fault}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> Result<()> {
    let _logger = flexi_logger::Logger::try_with_env_or_str("warn")?
        .log_to_stderr()
        .start()?;
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let listener = TcpListener::bind(value::<SocketAddr>(matches, "listen")).await?;
    let server = start(name, listener, matches)?;
    let mut out = std::io::stdout();
    writeln!(out, "listening {}", server.address())?;
    out.flush()?;
    server.wait().await;
    Ok(())
}

fn start(name: &str, listener: TcpListener, matches: &ArgMatches) -> Result<Server> {
    let server = match name {
        "platform" => standin::platform::serve(listener, platform(matches), Clock::System),
        "runner" => standin::runner::serve(listener, runner(matches), Clock::System),
        _ => standin::service::serve(listener, service(matches)),
    };
    Ok(server?)
}

fn platform(matches: &ArgMatches) -> standin::platform::Settings {
    standin::platform::Settings {
        writes: value(matches, "writes"),
        reads: value(matches, "reads"),
        lag: Millis::new(value(matches, "lag-ms")),
        ..standin::platform::Settings::default()
    }
}

fn runner(matches: &ArgMatches) -> standin::runner::Settings {
    let models = matches.get_many::<String>("model").unwrap_or_default();
    let mut models: Vec<String> = models.cloned().collect();
    models.sort();
    standin::runner::Settings {
        models,
        slots: value(matches, "slots"),
        tokens_per_second: value(matches, "tokens-per-second"),
        prefill_per_second: value(matches, "prefill-per-second"),
        crowding: value(matches, "crowding"),
        cache_tokens: value(matches, "cache-tokens"),
        lag: Millis::new(value(matches, "lag-ms")),
        answer_tokens: value(matches, "answer-tokens"),
        crash: standin::runner::Crash::Exit,
    }
}

fn service(matches: &ArgMatches) -> standin::service::Settings {
    standin::service::Settings {
        delay: Millis::new(value(matches, "delay-ms")),
        slots: value(matches, "slots"),
    }
}

/// Yields an option's value; every option that is asked for has a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let found = matches.get_one::<T>(name).cloned();
    found.unwrap_or_else(|| unreachable!("--{name} has a default"))
}

fn command() -> Command {
    Command::new("chestnutyoke-standin")
        .about("Stand-ins for the systems outside, with switches for their faults")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            listening("platform", "A key-value service and the list of VMs")
                .arg(number::<u32>(
                    "writes",
                    "300",
                    "Writes a second that it takes",
                ))
                .arg(number::<u32>(
                    "reads",
                    "2000",
                    "Reads a second that it takes",
                ))
                .arg(number::<u64>(
                    "lag-ms",
                    "0",
                    "Lag of the list in milliseconds",
                )),
        )
        .subcommand(runner_command())
        .subcommand(
            listening("service", "A plain service that counts its runs")
                .arg(number::<u64>(
                    "delay-ms",
                    "0",
                    "How long a call runs in milliseconds",
                ))
                .arg(number::<u32>("slots", "16", "Calls at once")),
        )
}

fn runner_command() -> Command {
    let model = Arg::new("model")
        .long("model")
        .action(ArgAction::Append)
        .help("A model that it serves; without one it serves any");
    listening("runner", "A model runner")
        .arg(model)
        .arg(number::<u32>("slots", "8", "Calls in a batch"))
        .arg(number::<f64>(
            "tokens-per-second",
            "200",
            "Speed of a call alone",
        ))
        .arg(number::<f64>(
            "prefill-per-second",
            "20000",
            "Prompt tokens a second",
        ))
        .arg(number::<f64>(
            "crowding",
            "0.05",
            "Slowdown by each further call",
        ))
        .arg(number::<u64>(
            "cache-tokens",
            "200000",
            "Prompt tokens cached",
        ))
        .arg(number::<u64>(
            "lag-ms",
            "0",
            "Age of reports in milliseconds",
        ))
        .arg(number::<u64>(
            "answer-tokens",
            "16",
            "Tokens of an answer by default",
        ))
}

fn listening(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("IP number and port; port 0 takes a free one");
    Command::new(name).about(about).arg(listen)
}

fn number<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(|text: &str| text.parse::<T>())
        .help(help)
}

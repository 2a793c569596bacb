//! The command line of the stand-ins; each process runs one stand-in.

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
    /// The listener can't be opened.
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

/// Returns the value of an option, which must have a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let found = matches.get_one::<T>(name).cloned();
    found.unwrap_or_else(|| unreachable!("--{name} has a default"))
}

fn command() -> Command {
    Command::new("chestnutyoke-standin")
        .about("Stand-ins for external systems, with configurable faults")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            listening_command("platform", "A key-value service and the list of VMs")
                .arg(number_arg::<u32>(
                    "writes",
                    "300",
                    "Writes per second that it accepts",
                ))
                .arg(number_arg::<u32>(
                    "reads",
                    "2000",
                    "Reads per second that it accepts",
                ))
                .arg(number_arg::<u64>(
                    "lag-ms",
                    "0",
                    "Delay of the list of VMs in milliseconds",
                )),
        )
        .subcommand(runner_command())
        .subcommand(
            listening_command("service", "A service that counts how often each call runs")
                .arg(number_arg::<u64>(
                    "delay-ms",
                    "0",
                    "Duration of a call in milliseconds",
                ))
                .arg(number_arg::<u32>("slots", "16", "Concurrent calls")),
        )
}

fn runner_command() -> Command {
    let model = Arg::new("model")
        .long("model")
        .action(ArgAction::Append)
        .help("A model that it serves; without this option it serves any model");
    listening_command("runner", "A model runner")
        .arg(model)
        .arg(number_arg::<u32>(
            "slots",
            "8",
            "Concurrent calls in a batch",
        ))
        .arg(number_arg::<f64>(
            "tokens-per-second",
            "200",
            "Decoding speed of a single call, in tokens per second",
        ))
        .arg(number_arg::<f64>(
            "prefill-per-second",
            "20000",
            "Prefill speed, in prompt tokens per second",
        ))
        .arg(number_arg::<f64>(
            "crowding",
            "0.05",
            "Slowdown by each further concurrent call, as a fraction",
        ))
        .arg(number_arg::<u64>(
            "cache-tokens",
            "200000",
            "Size of the prompt cache in tokens",
        ))
        .arg(number_arg::<u64>(
            "lag-ms",
            "0",
            "Age of load reports in milliseconds",
        ))
        .arg(number_arg::<u64>(
            "answer-tokens",
            "16",
            "Default length of an answer in tokens",
        ))
}

fn listening_command(name: &'static str, about: &'static str) -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("IP address and port; port 0 picks a free port");
    Command::new(name).about(about).arg(listen)
}

fn number_arg<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
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

//! The operators' subcommands, parsed into configuration edits, views and other actions.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use node::controllers::config::edit::Edit;
use node::controllers::config::edit::Subject;
use settings::config::Budget;
use settings::config::Class;
use settings::config::Selector;
use settings::label;
use settings::unit;
use wire::id;

use super::Result;
use crate::commands::apply;
use crate::commands::show::View;

/// The admin listener of a VM on this machine that uses the documented ports.
const DEFAULT_ADMIN: &str = "127.0.0.1:8082";

/// The VM that a subcommand calls, and how to print its answer.
#[derive(Clone, Debug)]
pub struct Target {
    /// The VM's admin listener.
    pub admin: SocketAddr,
    /// How to print the answer.
    pub format: Format,
    /// The revision of the configuration that a change is based on; `None` for the current one.
    pub expected: Option<u64>,
}

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Changes the configuration.
    Change(Edit),
    /// Shows a view.
    Show(View),
    /// Ends a program.
    End(id::Program),
}

/// Returns the operators' subcommands.
#[must_use]
pub fn commands() -> Vec<Command> {
    vec![
        with_common_args(label_command()),
        with_common_args(selector_command()),
        with_common_args(vm_command()),
        with_common_args(program_command()),
        with_common_args(apply_command()),
        with_common_args(
            Command::new("status").about("Shows VMs, shards and endpoints as this VM sees them"),
        ),
        with_common_args(rollout_command()),
        with_common_args(explain_command()),
    ]
}

fn with_common_args(command: Command) -> Command {
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("ADDRESS")
        .global(true);
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true);
    let expect = Arg::new("expect")
        .long("expect")
        .value_name("REVISION")
        .global(true);
    command
        .arg(
            admin
                .default_value(DEFAULT_ADMIN)
                .value_parser(value_parser!(SocketAddr))
                .help("The admin listener of any VM"),
        )
        .arg(json.help("Prints JSON for scripts"))
        .arg(
            expect
                .value_parser(value_parser!(u64))
                .help("Changes the configuration only if it is at this revision"),
        )
}

fn label_command() -> Command {
    let kind = Arg::new("kind")
        .value_parser(["caller", "program", "endpoint"])
        .required(true);
    let name = Arg::new("name").required(true);
    Command::new("label")
        .about("Manages labels of callers, programs and endpoints")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all labels"))
        .subcommand(
            Command::new("set")
                .about("Sets labels")
                .args([kind.clone(), name.clone()])
                .arg(
                    Arg::new("labels")
                        .value_name("NAME=VALUE")
                        .required(true)
                        .num_args(1..),
                ),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes labels")
                .args([kind, name])
                .arg(
                    Arg::new("labels")
                        .value_name("NAME")
                        .required(true)
                        .num_args(1..),
                ),
        )
}

fn selector_command() -> Command {
    Command::new("selector")
        .about("Manages which callers and programs may use which endpoints, and how")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the selectors by rank"))
        .subcommand(selector_set())
        .subcommand(
            Command::new("remove")
                .about("Removes a selector")
                .arg(Arg::new("name").required(true)),
        )
}

fn selector_set() -> Command {
    let repeated = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .action(ArgAction::Append)
            .help(help)
    };
    let single = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("set")
        .about("Adds a selector, or replaces the one with that name")
        .arg(Arg::new("name").required(true))
        .arg(repeated(
            "caller",
            "NAME=VALUE",
            "A label that the caller must have",
        ))
        .arg(repeated(
            "program",
            "NAME=VALUE",
            "A label that the program must have",
        ))
        .arg(repeated(
            "endpoint",
            "NAME=VALUE",
            "A label that an endpoint must have",
        ))
        .arg(repeated(
            "serves",
            "NAME",
            "A model or service that it covers; without this option, all",
        ))
        .arg(
            single("rank", "N", "Selectors with a higher rank apply first")
                .value_parser(value_parser!(i32)),
        )
        .arg(
            single("class", "CLASS", "The priority class of the work")
                .value_parser(["urgent", "routine"]),
        )
        .arg(single("tokens", "N", "Token budget of a program").value_parser(value_parser!(u64)))
        .arg(single("turns", "N", "Turn budget of a program").value_parser(value_parser!(u32)))
        .arg(single(
            "idle",
            "SPAN",
            "The longest pause between turns, for example 1h",
        ))
        .arg(
            Arg::new("deny")
                .long("deny")
                .action(ArgAction::SetTrue)
                .help("Forbids the work"),
        )
}

fn vm_command() -> Command {
    let centre = Arg::new("centre").required(true);
    Command::new("vm")
        .about("Manages VMs and data centres")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the VMs"))
        .subcommand(
            Command::new("lost")
                .about("Declares a data centre lost, so that others take over its programs")
                .arg(centre.clone()),
        )
        .subcommand(
            Command::new("found")
                .about("Revokes the declaration that a data centre is lost")
                .arg(centre),
        )
}

fn program_command() -> Command {
    let name = Arg::new("name").required(true);
    Command::new("program")
        .about("Programs")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Shows a program's turns, budget and history")
                .arg(name.clone()),
        )
        .subcommand(
            Command::new("end")
                .about("Ends a program permanently, whoever its caller is")
                .arg(name),
        )
}

fn apply_command() -> Command {
    Command::new("apply")
        .about("Adds callers, endpoints and selectors from a file, in one change")
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("A TOML file with [[callers]], [[endpoints]] and [[selectors]]"),
        )
}

fn rollout_command() -> Command {
    Command::new("rollout")
        .about("Shows on which VMs a revision of the configuration is in force")
        .arg(Arg::new("revision").value_parser(value_parser!(u64)))
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Shows why each call of a program was placed where it was")
        .arg(Arg::new("name").required(true))
}

/// Parses which VM to call and how to print its answer.
///
/// # Errors
///
/// Fails if the address is missing.
pub fn target(matches: &ArgMatches) -> Result<Target> {
    let sub = matches.subcommand().map_or(matches, |(_, sub)| sub);
    let format = if sub.get_flag("json") {
        Format::Json
    } else {
        Format::Table
    };
    let admin = *sub.get_one("admin").ok_or("--admin is missing")?;
    Ok(Target {
        admin,
        format,
        expected: sub.get_one("expect").copied(),
    })
}

/// Parses a subcommand into an action.
///
/// # Errors
///
/// Fails if a name, a label or a file isn't valid.
pub fn parse(command: &str, matches: &ArgMatches) -> Result<Action> {
    match (command, matches.subcommand()) {
        ("label", Some(("set", sub))) => label_set(sub),
        ("label", Some(("remove", sub))) => label_remove(sub),
        ("label", _) => Ok(Action::Show(View::Labels)),
        ("selector", Some(("set", sub))) => Ok(Action::Change(Edit::Selector(selector(sub)?))),
        ("selector", Some(("remove", sub))) => Ok(Action::Change(Edit::RemoveSelector(
            id::Selector::parse(required_text(sub, "name")?)?,
        ))),
        ("selector", _) => Ok(Action::Show(View::Selectors)),
        ("vm", Some(("lost", sub))) => Ok(Action::Change(Edit::Lost(id::Centre::parse(
            required_text(sub, "centre")?,
        )?))),
        ("vm", Some(("found", sub))) => Ok(Action::Change(Edit::Found(id::Centre::parse(
            required_text(sub, "centre")?,
        )?))),
        ("vm", _) => Ok(Action::Show(View::Vms)),
        ("program", Some(("end", sub))) => Ok(Action::End(id::Program::parse(required_text(
            sub, "name",
        )?)?)),
        ("program", Some((_, sub))) => Ok(Action::Show(View::Program(id::Program::parse(
            required_text(sub, "name")?,
        )?))),
        ("apply", _) => apply_file(matches),
        ("rollout", _) => Ok(Action::Show(View::Rollout(
            matches.get_one("revision").copied(),
        ))),
        ("explain", _) => Ok(Action::Show(View::Explain(id::Program::parse(
            required_text(matches, "name")?,
        )?))),
        _ => Ok(Action::Show(View::Status)),
    }
}

fn required_text<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    let value: Option<&String> = matches.get_one(name);
    Ok(value.ok_or_else(|| format!("{name} is missing"))?)
}

fn texts<'a>(matches: &'a ArgMatches, name: &str) -> Vec<&'a str> {
    let values = matches.get_many::<String>(name).unwrap_or_default();
    values.map(String::as_str).collect()
}

fn subject(matches: &ArgMatches) -> Result<Subject> {
    let name = required_text(matches, "name")?;
    match required_text(matches, "kind")? {
        "caller" => Ok(Subject::Caller(id::Caller::parse(name)?)),
        "program" => Ok(Subject::Program(id::Program::parse(name)?)),
        _ => Ok(Subject::Endpoint(id::Endpoint::parse(name)?)),
    }
}

fn parse_pair(label: &str) -> Result<(&str, &str)> {
    let pair = label.split_once('=').filter(|(name, _)| !name.is_empty());
    Ok(pair.ok_or_else(|| format!("`{label}` isn't NAME=VALUE"))?)
}

fn label_set(matches: &ArgMatches) -> Result<Action> {
    let subject = subject(matches)?;
    let mut edits = Vec::new();
    for label in texts(matches, "labels") {
        let (name, value) = parse_pair(label)?;
        let (name, value) = (name.to_owned(), Some(value.to_owned()));
        edits.push(Edit::Label {
            subject: subject.clone(),
            name,
            value,
        });
    }
    Ok(Action::Change(Edit::Several(edits)))
}

fn label_remove(matches: &ArgMatches) -> Result<Action> {
    let subject = subject(matches)?;
    let edit = |name: &str| Edit::Label {
        subject: subject.clone(),
        name: name.to_owned(),
        value: None,
    };
    Ok(Action::Change(Edit::Several(
        texts(matches, "labels").into_iter().map(edit).collect(),
    )))
}

fn selector(matches: &ArgMatches) -> Result<Selector> {
    let labels = |name: &str| -> Result<label::Set> {
        texts(matches, name).into_iter().map(parse_pair).collect()
    };
    let names = |name: &str| {
        texts(matches, name)
            .into_iter()
            .map(str::to_owned)
            .collect()
    };
    let default = Budget::default();
    let idle: Option<&String> = matches.get_one("idle");
    Ok(Selector {
        name: id::Selector::parse(required_text(matches, "name")?)?,
        rank: matches.get_one("rank").copied().unwrap_or_default(),
        caller: labels("caller")?,
        program: labels("program")?,
        endpoint: labels("endpoint")?,
        serves: names("serves"),
        allow: !matches.get_flag("deny"),
        class: match matches.get_one::<String>("class").map(String::as_str) {
            Some("urgent") => Class::Urgent,
            _ => Class::Routine,
        },
        budget: Budget {
            tokens: matches.get_one("tokens").copied().unwrap_or(default.tokens),
            turns: matches.get_one("turns").copied().unwrap_or(default.turns),
            idle: idle.map_or(Ok(default.idle), |text| unit::Span::parse(text))?,
        },
    })
}

fn apply_file(matches: &ArgMatches) -> Result<Action> {
    let path: &PathBuf = matches.get_one("file").ok_or("--file is missing")?;
    let text = fs::read_to_string(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
    let edit = apply::parse(&text).map_err(|fault| format!("{}: {fault}", path.display()))?;
    Ok(Action::Change(edit))
}

#[cfg(test)]
mod tests;

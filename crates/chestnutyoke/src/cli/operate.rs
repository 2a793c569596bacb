//! The operators' commands: parsed into an edit of the configuration or a wish to see something.

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
const ADMIN: &str = "127.0.0.1:8082";

/// The VM to ask, and how to show its answer.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its admin listener.
    pub admin: SocketAddr,
    /// Whether to show JSON in place of tables.
    pub format: Format,
    /// The configuration's revision that a change is made to; `None` for the present one.
    pub expected: Option<u64>,
}

/// How an answer is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A change of the configuration.
    Change(Edit),
    /// To see something.
    Show(View),
    /// To end a program.
    End(id::Program),
}

/// Yields the operators' commands.
#[must_use]
pub fn commands() -> Vec<Command> {
    vec![
        common(label_command()),
        common(selector_command()),
        common(vm_command()),
        common(program_command()),
        common(apply_command()),
        common(
            Command::new("status").about("Shows VMs, shards and endpoints as this VM sees them"),
        ),
        common(rollout_command()),
        common(explain_command()),
    ]
}

fn common(command: Command) -> Command {
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
                .default_value(ADMIN)
                .value_parser(value_parser!(SocketAddr))
                .help("The admin listener of any VM"),
        )
        .arg(json.help("Shows JSON for scripts"))
        .arg(
            expect
                .value_parser(value_parser!(u64))
                .help("Makes a change only to this revision of the configuration"),
        )
}

fn label_command() -> Command {
    let kind = Arg::new("kind")
        .value_parser(["caller", "program", "endpoint"])
        .required(true);
    let name = Arg::new("name").required(true);
    Command::new("label")
        .about("Labels of callers, programs and endpoints")
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
        .about("Which labelled work may use which endpoints, and how")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the selectors in the order of their ranks"))
        .subcommand(selector_set())
        .subcommand(
            Command::new("remove")
                .about("Removes a selector")
                .arg(Arg::new("name").required(true)),
        )
}

fn selector_set() -> Command {
    let many = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .action(ArgAction::Append)
            .help(help)
    };
    let one = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("set")
        .about("Adds a selector or replaces the one of that name")
        .arg(Arg::new("name").required(true))
        .arg(many(
            "caller",
            "NAME=VALUE",
            "A label that the caller must have",
        ))
        .arg(many(
            "program",
            "NAME=VALUE",
            "A label that the program must have",
        ))
        .arg(many(
            "endpoint",
            "NAME=VALUE",
            "A label that an endpoint must have",
        ))
        .arg(many(
            "serves",
            "NAME",
            "A model or service; all without this option",
        ))
        .arg(one("rank", "N", "Higher goes first").value_parser(value_parser!(i32)))
        .arg(one("class", "CLASS", "How soon it is heard").value_parser(["urgent", "routine"]))
        .arg(one("tokens", "N", "Tokens of a program").value_parser(value_parser!(u64)))
        .arg(one("turns", "N", "Turns of a program").value_parser(value_parser!(u32)))
        .arg(one(
            "idle",
            "SPAN",
            "The longest pause between turns, as 1h",
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
        .about("VMs and data centres")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists the VMs"))
        .subcommand(
            Command::new("lost")
                .about("Declares a data centre lost, so that others take its programs over")
                .arg(centre.clone()),
        )
        .subcommand(Command::new("found").about("Takes that back").arg(centre))
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
                .about("Ends a program for good, whoever its caller is")
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
        .about("Shows why each call of a program went where it did")
        .arg(Arg::new("name").required(true))
}

/// Parses whom to ask.
///
/// # Errors
///
/// Fails where the address is missing.
pub fn target(matches: &ArgMatches) -> Result<Target> {
    let leaf = matches.subcommand().map_or(matches, |(_, leaf)| leaf);
    let format = if leaf.get_flag("json") {
        Format::Json
    } else {
        Format::Table
    };
    let admin = *leaf.get_one("admin").ok_or("--admin is missing")?;
    Ok(Target {
        admin,
        format,
        expected: leaf.get_one("expect").copied(),
    })
}

/// Parses what is wanted.
///
/// # Errors
///
/// Fails where a name, a label or a file isn't valid.
pub fn parse(verb: &str, matches: &ArgMatches) -> Result<Action> {
    match (verb, matches.subcommand()) {
        ("label", Some(("set", leaf))) => label_set(leaf),
        ("label", Some(("remove", leaf))) => label_remove(leaf),
        ("label", _) => Ok(Action::Show(View::Labels)),
        ("selector", Some(("set", leaf))) => Ok(Action::Change(Edit::Selector(selector(leaf)?))),
        ("selector", Some(("remove", leaf))) => Ok(Action::Change(Edit::RemoveSelector(
            id::Selector::parse(text(leaf, "name")?)?,
        ))),
        ("selector", _) => Ok(Action::Show(View::Selectors)),
        ("vm", Some(("lost", leaf))) => Ok(Action::Change(Edit::Lost(id::Centre::parse(text(
            leaf, "centre",
        )?)?))),
        ("vm", Some(("found", leaf))) => Ok(Action::Change(Edit::Found(id::Centre::parse(text(
            leaf, "centre",
        )?)?))),
        ("vm", _) => Ok(Action::Show(View::Vms)),
        ("program", Some(("end", leaf))) => {
            Ok(Action::End(id::Program::parse(text(leaf, "name")?)?))
        }
        ("program", Some((_, leaf))) => Ok(Action::Show(View::Program(id::Program::parse(text(
            leaf, "name",
        )?)?))),
        ("apply", _) => apply_file(matches),
        ("rollout", _) => Ok(Action::Show(View::Rollout(
            matches.get_one("revision").copied(),
        ))),
        ("explain", _) => Ok(Action::Show(View::Explain(id::Program::parse(text(
            matches, "name",
        )?)?))),
        _ => Ok(Action::Show(View::Status)),
    }
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    let value: Option<&String> = matches.get_one(name);
    Ok(value.ok_or_else(|| format!("{name} is missing"))?)
}

fn texts<'a>(matches: &'a ArgMatches, name: &str) -> Vec<&'a str> {
    let values = matches.get_many::<String>(name).unwrap_or_default();
    values.map(String::as_str).collect()
}

fn subject(matches: &ArgMatches) -> Result<Subject> {
    let name = text(matches, "name")?;
    match text(matches, "kind")? {
        "caller" => Ok(Subject::Caller(id::Caller::parse(name)?)),
        "program" => Ok(Subject::Program(id::Program::parse(name)?)),
        _ => Ok(Subject::Endpoint(id::Endpoint::parse(name)?)),
    }
}

fn pair(label: &str) -> Result<(&str, &str)> {
    let pair = label.split_once('=').filter(|(name, _)| !name.is_empty());
    Ok(pair.ok_or_else(|| format!("`{label}` isn't NAME=VALUE"))?)
}

fn label_set(matches: &ArgMatches) -> Result<Action> {
    let subject = subject(matches)?;
    let mut edits = Vec::new();
    for label in texts(matches, "labels") {
        let (name, value) = pair(label)?;
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
    let set =
        |name: &str| -> Result<label::Set> { texts(matches, name).into_iter().map(pair).collect() };
    let words = |name: &str| {
        texts(matches, name)
            .into_iter()
            .map(str::to_owned)
            .collect()
    };
    let standard = Budget::default();
    let idle: Option<&String> = matches.get_one("idle");
    Ok(Selector {
        name: id::Selector::parse(text(matches, "name")?)?,
        rank: matches.get_one("rank").copied().unwrap_or_default(),
        caller: set("caller")?,
        program: set("program")?,
        endpoint: set("endpoint")?,
        serves: words("serves"),
        allow: !matches.get_flag("deny"),
        class: match matches.get_one::<String>("class").map(String::as_str) {
            Some("urgent") => Class::Urgent,
            _ => Class::Routine,
        },
        budget: Budget {
            tokens: matches
                .get_one("tokens")
                .copied()
                .unwrap_or(standard.tokens),
            turns: matches.get_one("turns").copied().unwrap_or(standard.turns),
            idle: idle.map_or(Ok(standard.idle), |text| unit::Span::parse(text))?,
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

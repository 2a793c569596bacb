//! Shows what a VM knows, as tables or as JSON.

use hyper::Method;
use serde_json::Value;
use wire::id;

use crate::cli::operate::Format;
use crate::cli::operate::Target;
use crate::client;
use crate::table::Table;

/// What an operator wants to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum View {
    /// VMs, shards and endpoints.
    Status,
    /// The VMs.
    Vms,
    /// All labels.
    Labels,
    /// All selectors.
    Selectors,
    /// Where a revision is in force; the highest without one.
    Rollout(Option<u64>),
    /// A program.
    Program(id::Program),
    /// Why a program's calls went where they did.
    Explain(id::Program),
}

/// Asks a VM and shows its answer.
///
/// # Errors
///
/// Fails where the VM can't be reached or refuses the question.
pub async fn run(target: &Target, view: &View) -> client::Result<()> {
    let answer = client::call(target.admin, Method::GET, &path(view), None).await?;
    match target.format {
        Format::Json => println!("{answer}"),
        Format::Table => print!("{}", render(view, &answer)),
    }
    Ok(())
}

/// Ends a program and shows what it was.
///
/// # Errors
///
/// Fails where the VM can't be reached or doesn't know the program.
pub async fn end(target: &Target, program: &id::Program) -> client::Result<()> {
    let path = format!("/operate/programs/{program}");
    let answer = client::call(target.admin, Method::DELETE, &path, None).await?;
    match target.format {
        Format::Json => println!("{answer}"),
        Format::Table => print!("{}", fields(&answer)),
    }
    Ok(())
}

fn path(view: &View) -> String {
    match view {
        View::Status | View::Vms => "/status".to_owned(),
        View::Labels | View::Selectors => "/operate/config".to_owned(),
        View::Rollout(None) => "/operate/rollout".to_owned(),
        View::Rollout(Some(revision)) => format!("/operate/rollout?revision={revision}"),
        View::Program(program) => format!("/operate/programs/{program}"),
        View::Explain(program) => format!("/operate/explain/{program}"),
    }
}

fn render(view: &View, answer: &Value) -> String {
    match view {
        View::Status => status(answer),
        View::Vms => rows(
            &answer["peers"],
            &["vm", "centre", "address", "size", "up", "stopping"],
        ),
        View::Labels => labels(answer),
        View::Selectors => rows(
            &answer["selectors"],
            &[
                "name", "class", "rank", "allow", "caller", "program", "endpoint", "serves",
                "budget",
            ],
        ),
        View::Rollout(_) => rollout(answer),
        View::Program(_) => fields(answer),
        View::Explain(_) => rows(
            &answer["decisions"],
            &["at", "vm", "turn", "event", "detail"],
        ),
    }
}

/// Renders a list of objects as a table with these fields as columns.
fn rows(list: &Value, columns: &[&str]) -> String {
    let mut table = Table::new(columns);
    for item in list.as_array().into_iter().flatten() {
        table.row(columns.iter().map(|column| cell(&item[column])));
    }
    table.render()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => {
            let pairs = fields
                .iter()
                .map(|(name, value)| format!("{name}={}", cell(value)));
            pairs.collect::<Vec<_>>().join(",")
        }
        Value::Number(number) => number.to_string(),
    }
}

fn fields(answer: &Value) -> String {
    let mut table = Table::new(&["field", "value"]);
    for (name, value) in answer.as_object().into_iter().flatten() {
        table.row([name.clone(), cell(value)]);
    }
    table.render()
}

fn status(answer: &Value) -> String {
    let head = format!(
        "vm {} in {}, revision {}, platform {}\n",
        cell(&answer["vm"]),
        cell(&answer["centre"]),
        answer["revision"],
        if answer["platform"] == Value::Bool(true) {
            "answers"
        } else {
            "doesn't answer"
        },
    );
    let vms = rows(
        &answer["peers"],
        &["vm", "centre", "address", "size", "up", "stopping"],
    );
    let shards = rows(&answer["owners"], &["shard", "vm", "epoch"]);
    let endpoints = rows(
        &answer["loads"],
        &["endpoint", "up", "leaving", "running", "waiting", "speed"],
    );
    format!("{head}\n{vms}\n{shards}\n{endpoints}")
}

fn labels(answer: &Value) -> String {
    let mut table = Table::new(&["kind", "name", "labels"]);
    for (kind, list) in [
        ("caller", "callers"),
        ("program", "programs"),
        ("endpoint", "endpoints"),
    ] {
        for item in answer[list].as_array().into_iter().flatten() {
            table.row([kind.to_owned(), cell(&item["name"]), cell(&item["labels"])]);
        }
    }
    table.render()
}

fn rollout(answer: &Value) -> String {
    let mut table = Table::new(&["revision", "in force on", "not yet on", "not heard"]);
    let lists = ["reached", "behind", "silent"].map(|list| cell(&answer[list]));
    table.row([cell(&answer["revision"])].into_iter().chain(lists));
    table.render()
}

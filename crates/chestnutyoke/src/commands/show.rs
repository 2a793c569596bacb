//! Prints the state of the system as one VM knows it, as tables or as JSON.

use hyper::Method;
use serde_json::Value;
use wire::id;

use crate::cli::operate::Format;
use crate::cli::operate::Target;
use crate::client;
use crate::table::Table;

/// A view of the state that an operator asks for.
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
    /// Which VMs have a revision in force; the highest revision if `None`.
    Rollout(Option<u64>),
    /// A program.
    Program(id::Program),
    /// Why each call of a program was placed where it was.
    Explain(id::Program),
}

/// Requests a view from a VM and prints the answer.
///
/// # Errors
///
/// Fails if the VM can't be reached or refuses the request.
pub async fn run(target: &Target, view: &View) -> client::Result<()> {
    let answer = client::call(target.admin, Method::GET, &path(view), None).await?;
    match target.format {
        Format::Json => println!("{answer}"),
        Format::Table => print!("{}", render(view, &answer)),
    }
    Ok(())
}

/// Ends a program and prints its final state.
///
/// # Errors
///
/// Fails if the VM can't be reached or doesn't know the program.
pub async fn end(target: &Target, program: &id::Program) -> client::Result<()> {
    let path = format!("/operate/programs/{program}");
    let answer = client::call(target.admin, Method::DELETE, &path, None).await?;
    match target.format {
        Format::Json => println!("{answer}"),
        Format::Table => print!("{}", render_fields(&answer)),
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
        View::Status => render_status(answer),
        View::Vms => render_rows(
            &answer["peers"],
            &["vm", "centre", "address", "size", "up", "stopping"],
        ),
        View::Labels => render_labels(answer),
        View::Selectors => render_rows(
            &answer["selectors"],
            &[
                "name", "class", "rank", "allow", "caller", "program", "endpoint", "serves",
                "budget",
            ],
        ),
        View::Rollout(_) => render_rollout(answer),
        View::Program(_) => render_fields(answer),
        View::Explain(_) => render_rows(
            &answer["decisions"],
            &["at", "vm", "turn", "event", "detail"],
        ),
    }
}

/// Renders a list of objects as a table with `columns` as the fields to show.
fn render_rows(list: &Value, columns: &[&str]) -> String {
    let mut table = Table::new(columns);
    for item in list.as_array().into_iter().flatten() {
        table.add_row(columns.iter().map(|column| render_cell(&item[column])));
    }
    table.render()
}

fn render_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(render_cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => {
            let pairs = fields
                .iter()
                .map(|(name, value)| format!("{name}={}", render_cell(value)));
            pairs.collect::<Vec<_>>().join(",")
        }
        Value::Number(number) => number.to_string(),
    }
}

fn render_fields(answer: &Value) -> String {
    let mut table = Table::new(&["field", "value"]);
    for (name, value) in answer.as_object().into_iter().flatten() {
        table.add_row([name.clone(), render_cell(value)]);
    }
    table.render()
}

fn render_status(answer: &Value) -> String {
    let summary = format!(
        "vm {} in {}, revision {}, platform {}\n",
        render_cell(&answer["vm"]),
        render_cell(&answer["centre"]),
        answer["revision"],
        if answer["platform"] == Value::Bool(true) {
            "answers"
        } else {
            "doesn't answer"
        },
    );
    let vms = render_rows(
        &answer["peers"],
        &["vm", "centre", "address", "size", "up", "stopping"],
    );
    let shards = render_rows(&answer["owners"], &["shard", "vm", "epoch"]);
    let endpoints = render_rows(
        &answer["loads"],
        &["endpoint", "up", "leaving", "running", "waiting", "speed"],
    );
    format!("{summary}\n{vms}\n{shards}\n{endpoints}")
}

fn render_labels(answer: &Value) -> String {
    let mut table = Table::new(&["kind", "name", "labels"]);
    for (kind, list) in [
        ("caller", "callers"),
        ("program", "programs"),
        ("endpoint", "endpoints"),
    ] {
        for item in answer[list].as_array().into_iter().flatten() {
            table.add_row([
                kind.to_owned(),
                render_cell(&item["name"]),
                render_cell(&item["labels"]),
            ]);
        }
    }
    table.render()
}

fn render_rollout(answer: &Value) -> String {
    let mut table = Table::new(&["revision", "in force on", "not yet on", "not responding"]);
    let lists = ["reached", "behind", "silent"].map(|list| render_cell(&answer[list]));
    table.add_row([render_cell(&answer["revision"])].into_iter().chain(lists));
    table.render()
}

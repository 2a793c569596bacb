//! `trace`: prints the timeline of a request or program from the logs of many VMs, or where late
//! programs spent their time.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use trace::breakdown;
use trace::line;
use trace::line::Line;
use trace::timeline;
use wire::event::Event;

use crate::cli;
use crate::cli::operate::Format;

/// What to extract from the logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The timeline of the request or program with this id.
    Timeline(String),
    /// Where programs that ended late or failed spent their time.
    Late,
}

/// Reads the logs, or standard input if there are none, and prints the result.
///
/// # Errors
///
/// Fails if a log can't be read, or if no line contains the id.
pub fn run(query: &Query, logs: &[PathBuf], format: Format) -> cli::Result<()> {
    let lines = read_all(logs)?;
    match query {
        Query::Timeline(id) => {
            let timeline = timeline::build(id, &lines);
            if timeline.lines.is_empty() {
                let count = lines.len();
                return Err(format!("none of {count} lines names {id}: is a log missing?").into());
            }
            match format {
                Format::Json => println!("{}", serde_json::to_string(&timeline)?),
                Format::Table => print!("{timeline}"),
            }
        }
        Query::Late => {
            let seconds = breakdown::sum(&lines);
            match format {
                Format::Json => println!("{}", serde_json::to_string(&seconds)?),
                Format::Table => print!("{}", breakdown::render(&seconds)),
            }
        }
    }
    Ok(())
}

fn read_all(logs: &[PathBuf]) -> cli::Result<Vec<Line>> {
    if logs.is_empty() {
        return read(std::io::stdin().lock(), "standard input");
    }
    let mut lines = Vec::new();
    for log in logs {
        let fault = |fault| format!("{}: {fault}", log.display());
        let file = File::open(log).map_err(fault)?;
        lines.extend(read(BufReader::new(file), &vm_name(log))?);
    }
    Ok(lines)
}

/// Returns the name of a log file's VM, which is the file's name without its extension.
fn vm_name(log: &Path) -> String {
    let stem = log.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

/// Reads the lines that have an event number. Other lines are left out; those that look truncated
/// are counted and reported on standard error. A line without a line end counts as truncated,
/// unless a closing quote shows that its last value is complete.
fn read(mut log: impl BufRead, name: &str) -> cli::Result<Vec<Line>> {
    let mut lines = Vec::new();
    let mut truncated = 0;
    let mut bytes = Vec::new();
    while log.read_until(b'\n', &mut bytes)? > 0 {
        let text = String::from_utf8_lossy(&bytes);
        let is_complete = text.ends_with(['\n', '"']);
        let line = line::parse(text.trim_end(), name).filter(|_| is_complete);
        match line {
            Some(line) => lines.push(line),
            None if text.contains("event=E") => truncated += 1,
            None => {}
        }
        bytes.clear();
    }
    if truncated > 0 {
        eprintln!("{name}: {truncated} lines are truncated and were left out");
    }
    let vms = vms_without_names(&lines, name);
    if vms.len() > 1 {
        let vms = vms.join(", ");
        eprintln!("{name}: lines of several VMs that don't contain the VM's name: {vms}");
    }
    Ok(lines)
}

/// Returns the VMs that started in a log whose lines don't contain the VM's name. If there are
/// several, the state lines of one are mistaken for those of another.
fn vms_without_names<'a>(lines: &'a [Line], name: &str) -> Vec<&'a str> {
    let starts = lines
        .iter()
        .filter(|line| line.event == Event::NodeStarted.number() && line.vm == name);
    let mut vms: Vec<&str> = starts.map(|line| line.field("vm")).collect();
    vms.sort_unstable();
    vms.dedup();
    vms
}

//! Tells a request's or a program's story from the logs of many VMs, or where late programs spent
//! their time.

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

/// What is asked of the logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// The story of a request or program.
    Timeline(String),
    /// Where the time of programs that ended late or failed went.
    Late,
}

/// Reads the logs (standard input where there are none) and prints the answer.
///
/// # Errors
///
/// Fails where a log can't be read, or no line concerns the id.
pub fn run(query: &Query, logs: &[PathBuf], format: Format) -> cli::Result<()> {
    let lines = read_all(logs)?;
    match query {
        Query::Timeline(id) => {
            let timeline = timeline::build(id, &lines);
            if timeline.lines.is_empty() {
                let read = lines.len();
                return Err(format!("none of {read} lines names {id}: is a log missing?").into());
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
        lines.extend(read(BufReader::new(file), &name(log))?);
    }
    Ok(lines)
}

/// Names the VM of a log by the file's name.
fn name(log: &Path) -> String {
    let stem = log.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

/// Reads the lines that name events. Others are left out, and told, as one may be torn: a line
/// without an end is, too, unless a closing quote tells that its last value is whole.
fn read(mut log: impl BufRead, name: &str) -> cli::Result<Vec<Line>> {
    let mut lines = Vec::new();
    let mut torn = 0;
    let mut bytes = Vec::new();
    while log.read_until(b'\n', &mut bytes)? > 0 {
        let text = String::from_utf8_lossy(&bytes);
        let ends = text.ends_with(['\n', '"']);
        let line = line::parse(text.trim_end(), name).filter(|_| ends);
        match line {
            Some(line) => lines.push(line),
            None if text.contains("event=E") => torn += 1,
            None => {}
        }
        bytes.clear();
    }
    if torn > 0 {
        eprintln!("{name}: {torn} lines are torn and were left out");
    }
    let vms = unnamed(&lines, name);
    if vms.len() > 1 {
        let vms = vms.join(", ");
        eprintln!("{name}: lines of several VMs that don't bear their names: {vms}");
    }
    Ok(lines)
}

/// Names the VMs that started in a log whose lines bear only the log's name: with several, what one
/// noted of itself passes for another's.
fn unnamed<'a>(lines: &'a [Line], name: &str) -> Vec<&'a str> {
    let starts = lines
        .iter()
        .filter(|line| line.event == Event::NodeStarted.number() && line.vm == name);
    let mut vms: Vec<&str> = starts.map(|line| line.field("vm")).collect();
    vms.sort_unstable();
    vms.dedup();
    vms
}

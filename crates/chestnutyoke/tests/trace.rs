//! `chestnutyoke trace` on realistic logs: truncated, incomplete, missing, and out of order.

use std::fs;
use std::path::PathBuf;
use std::process;
use std::process::Command;

const PLACED: &str = "at=2026-05-17T07:00:01.000 level=INFO event=E1201 text=\"call placed\" request=r1 program=p1 runner=i-1 left_ms=2000\n";
const REFUSED: &str = "at=2026-05-17T07:00:02.000 level=WARN event=E1102 text=\"request refused\" request=r1 program=p1 code=CY4107 why=\"too few\"\n";
const STARTED: &str =
    "at=2026-05-17T07:00:05.000 level=INFO event=E1001 text=\"node started\" vm=front-a-1\n";

/// The output of the subcommand.
struct Printed {
    out: String,
    err: String,
    success: bool,
}

/// Writes logs into a folder for this test and runs the subcommand on them.
fn trace(test: &str, id: &str, logs: &[(&str, &str)]) -> Printed {
    let folder = std::env::temp_dir().join(format!("chestnutyoke-trace-{}-{test}", process::id()));
    fs::create_dir_all(&folder).unwrap();
    let write = |(name, text): &(&str, &str)| {
        let path = folder.join(name);
        fs::write(&path, text).unwrap();
        path
    };
    let paths: Vec<PathBuf> = logs.iter().map(write).collect();
    let output = Command::new(env!("CARGO_BIN_EXE_chestnutyoke"))
        .args(["trace", id])
        .args(paths)
        .output()
        .unwrap();
    fs::remove_dir_all(&folder).unwrap();
    Printed {
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
        success: output.status.success(),
    }
}

/// A process is killed in the middle of a line. The line's last value would be mistaken for another
/// value, so the line is left out and counted, and the request's end is reported as missing.
#[test]
fn a_line_without_a_line_end_is_truncated() {
    let truncated = &REFUSED[..REFUSED.find("107").unwrap()];
    let printed = trace(
        "truncated",
        "r1",
        &[("front-a-1.log", &format!("{PLACED}{truncated}"))],
    );
    assert!(
        printed.err.contains("1 lines are truncated"),
        "{}",
        printed.err
    );
    assert!(!printed.out.contains("CY4"), "{}", printed.out);
    let expected =
        "request r1: its end is missing: is the log of front-a-1 complete? (at runner i-1)";
    assert!(printed.out.contains(expected), "{}", printed.out);
}

/// The start event of the next process follows the truncated line. It shows that the process ended
/// before the request did, and that lines may be missing.
#[test]
fn a_start_after_a_truncated_line_reveals_the_kill() {
    let first = STARTED.replace("07:00:05", "07:00:00");
    let truncated = &REFUSED[..REFUSED.find("107").unwrap()];
    let log = format!("{first}{PLACED}{truncated}{STARTED}");
    let printed = trace("start", "r1", &[("front-a-1.log", &log)]);
    let expected = "request r1: the process on front-a-1 ended before the request did";
    assert!(printed.out.contains(expected), "{}", printed.out);
    let expected =
        "the process on front-a-1 ended without logging its end after 2026-05-17T07:00:01.000";
    assert!(printed.out.contains(expected), "{}", printed.out);
}

/// A collector concatenates the logs of a program's two VMs, the later one first. The timeline is
/// ordered by time.
#[test]
fn logs_out_of_order_are_sorted() {
    let later = PLACED.replace("r1", "r2").replace("07:00:01", "07:00:03");
    let printed = trace(
        "order",
        "p1",
        &[
            ("front-b-1.log", &later),
            ("front-a-1.log", &format!("{REFUSED}{PLACED}")),
        ],
    );
    let at: Vec<Option<usize>> = ["front-a-1 E1201", "front-a-1 E1102", "front-b-1 E1201"]
        .iter()
        .map(|line| printed.out.find(line))
        .collect();
    assert!(
        at.iter().all(Option::is_some) && at.is_sorted(),
        "{}",
        printed.out
    );
}

/// The log of the VM that had the request is missing. The subcommand fails and says so instead of
/// printing an empty timeline.
#[test]
fn an_id_that_no_line_contains_is_an_error() {
    let printed = trace("missing", "r9", &[("front-a-1.log", PLACED)]);
    assert!(!printed.success);
    let expected = "none of 1 lines names r9: is a log missing?";
    assert!(printed.err.contains(expected), "{}", printed.err);
}

/// The log's queue was full while a request ran. The request's end isn't in the log, and the
/// timeline says that lines were dropped.
#[test]
fn dropped_lines_are_shown_with_a_missing_end() {
    let dropped =
        "at=2026-05-17T07:00:03.000 level=WARN event=E1005 text=\"lines dropped\" lines=12\n";
    let printed = trace(
        "dropped",
        "r1",
        &[("front-a-1.log", &format!("{PLACED}{dropped}"))],
    );
    let expected =
        "lines may be missing: front-a-1 dropped 12 lines before 2026-05-17T07:00:03.000";
    assert!(printed.out.contains(expected), "{}", printed.out);
}

/// The logs of two VMs are concatenated without anything that distinguishes their lines. One VM's
/// state would be mistaken for the other's, so the subcommand warns about it.
#[test]
fn concatenated_logs_without_vm_names_cause_a_warning() {
    let other = STARTED.replace("front-a-1", "store-b-1");
    let log = format!("{STARTED}{PLACED}{other}");
    let printed = trace("joined", "r1", &[("all.log", &log)]);
    let expected = "lines of several VMs that don't contain the VM's name: front-a-1, store-b-1";
    assert!(printed.err.contains(expected), "{}", printed.err);
    let named: Vec<String> = log
        .lines()
        .map(|line| format!("front-a-1 {line}"))
        .collect();
    let named = format!("{}\n", named.join("\n"));
    let printed = trace("named", "r1", &[("all.log", &named)]);
    assert_eq!(printed.err, "");
}

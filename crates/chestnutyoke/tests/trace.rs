//! `chestnutyoke trace` on logs as they are found: torn, cut, missing, and out of order.

use std::fs;
use std::path::PathBuf;
use std::process;
use std::process::Command;

const PLACED: &str = "at=2026-05-17T07:00:01.000 level=INFO event=E1201 text=\"call placed\" request=r1 program=p1 runner=i-1 left_ms=2000\n";
const REFUSED: &str = "at=2026-05-17T07:00:02.000 level=WARN event=E1102 text=\"request refused\" request=r1 program=p1 code=CY4107 why=\"too few\"\n";
const STARTED: &str =
    "at=2026-05-17T07:00:05.000 level=INFO event=E1001 text=\"node started\" vm=front-a-1\n";

/// What the verb printed.
struct Told {
    out: String,
    err: String,
    success: bool,
}

/// Writes logs into a folder of the test's own and asks the verb about them.
fn trace(test: &str, id: &str, logs: &[(&str, &str)]) -> Told {
    let folder = std::env::temp_dir().join(format!("chestnutyoke-trace-{}-{test}", process::id()));
    fs::create_dir_all(&folder).unwrap();
    let write = |(name, text): &(&str, &str)| {
        let path = folder.join(name);
        fs::write(&path, text).unwrap();
        path
    };
    let paths: Vec<PathBuf> = logs.iter().map(write).collect();
    let verb = Command::new(env!("CARGO_BIN_EXE_chestnutyoke"))
        .args(["trace", id])
        .args(paths)
        .output()
        .unwrap();
    fs::remove_dir_all(&folder).unwrap();
    Told {
        out: String::from_utf8(verb.stdout).unwrap(),
        err: String::from_utf8(verb.stderr).unwrap(),
        success: verb.status.success(),
    }
}

/// A process is killed in the middle of a line. The line's last value would pass for another one, so
/// it is left out and counted, and the story doesn't pretend to know the request's end.
#[test]
fn a_line_without_an_end_is_torn() {
    let torn = &REFUSED[..REFUSED.find("107").unwrap()];
    let told = trace(
        "torn",
        "r1",
        &[("front-a-1.log", &format!("{PLACED}{torn}"))],
    );
    assert!(told.err.contains("1 lines are truncated"), "{}", told.err);
    assert!(!told.out.contains("CY4"), "{}", told.out);
    let wanted =
        "request r1: its end is missing: is the log of front-a-1 complete? (at runner i-1)";
    assert!(told.out.contains(wanted), "{}", told.out);
}

/// The next process's start stands behind the torn line. It tells that the process ended before the
/// request did, and that lines may be missing.
#[test]
fn a_start_behind_a_torn_line_tells_of_the_kill() {
    let first = STARTED.replace("07:00:05", "07:00:00");
    let torn = &REFUSED[..REFUSED.find("107").unwrap()];
    let log = format!("{first}{PLACED}{torn}{STARTED}");
    let told = trace("start", "r1", &[("front-a-1.log", &log)]);
    let wanted = "request r1: the process on front-a-1 ended before the request did";
    assert!(told.out.contains(wanted), "{}", told.out);
    let wanted =
        "the process on front-a-1 ended without logging its end after 2026-05-17T07:00:01.000";
    assert!(told.out.contains(wanted), "{}", told.out);
}

/// A collector joins the logs of a program's two VMs with the later one first. The story goes by time.
#[test]
fn logs_out_of_order_are_put_in_order() {
    let later = PLACED.replace("r1", "r2").replace("07:00:01", "07:00:03");
    let told = trace(
        "order",
        "p1",
        &[
            ("front-b-1.log", &later),
            ("front-a-1.log", &format!("{REFUSED}{PLACED}")),
        ],
    );
    let at: Vec<Option<usize>> = ["front-a-1 E1201", "front-a-1 E1102", "front-b-1 E1201"]
        .iter()
        .map(|line| told.out.find(line))
        .collect();
    assert!(
        at.iter().all(Option::is_some) && at.is_sorted(),
        "{}",
        told.out
    );
}

/// The log of the VM that had the request is missing. The verb fails and says so, rather than tell
/// an empty story.
#[test]
fn an_id_that_no_line_names_is_a_fault() {
    let told = trace("missing", "r9", &[("front-a-1.log", PLACED)]);
    assert!(!told.success);
    let wanted = "none of 1 lines names r9: is a log missing?";
    assert!(told.err.contains(wanted), "{}", told.err);
}

/// The log's queue was full while a request ran. Its end isn't in the log, and the story says that
/// lines were dropped.
#[test]
fn dropped_lines_are_told_beside_a_missing_end() {
    let dropped =
        "at=2026-05-17T07:00:03.000 level=WARN event=E1005 text=\"lines dropped\" lines=12\n";
    let told = trace(
        "dropped",
        "r1",
        &[("front-a-1.log", &format!("{PLACED}{dropped}"))],
    );
    let wanted = "lines may be missing: front-a-1 dropped 12 lines before 2026-05-17T07:00:03.000";
    assert!(told.out.contains(wanted), "{}", told.out);
}

/// The logs of two VMs are joined with nothing that tells their lines apart. One VM's state would pass
/// for the other's, so the verb says so.
#[test]
fn joined_logs_without_names_are_told() {
    let other = STARTED.replace("front-a-1", "store-b-1");
    let log = format!("{STARTED}{PLACED}{other}");
    let told = trace("joined", "r1", &[("all.log", &log)]);
    let wanted = "lines of several VMs that don't contain the VM's name: front-a-1, store-b-1";
    assert!(told.err.contains(wanted), "{}", told.err);
    let named: Vec<String> = log
        .lines()
        .map(|line| format!("front-a-1 {line}"))
        .collect();
    let named = format!("{}\n", named.join("\n"));
    let told = trace("named", "r1", &[("all.log", &named)]);
    assert_eq!(told.err, "");
}

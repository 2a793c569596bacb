//! Checks of the house style that neither the formatter nor the linter covers.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The maximum length of a source file in lines; a longer file has more than one responsibility.
const MAX_LINES: usize = 600;

struct Source {
    path: PathBuf,
    text: String,
}

#[test]
fn one_import_per_line() {
    let braces = |line: &str| {
        let line = line.trim_start().trim_start_matches("pub ");
        line.starts_with("use ") && line.contains('{')
    };
    assert_clean("an import of several items", &braces);
}

#[test]
fn no_getter_prefixes() {
    assert_clean("a getter prefix", &|line: &str| {
        line.contains(concat!("fn ", "get_"))
    });
}

#[test]
fn no_boolean_parameters() {
    let flagged = |line: &str| {
        let line = line.trim_start();
        let public = line.starts_with("pub fn ") || line.starts_with("pub async fn ");
        let head = line.split("->").next().unwrap_or_default();
        public && head.contains(": bool") && !line.contains("fn set_")
    };
    assert_clean("a boolean parameter", &flagged);
}

#[test]
fn no_machine_specific_paths() {
    let needles = [
        concat!("/wo", "rk/"),
        concat!("../", "given"),
        concat!("../", "shared"),
    ];
    let named = |line: &str| needles.iter().any(|needle| line.contains(needle));
    assert_clean("a machine-specific path", &named);
}

/// Names of the users' platform occur only in `platform/`: the code of no other crate depends on
/// them.
#[test]
fn platform_names_occur_only_in_the_platform_folder() {
    let needles = [
        concat!("\"Server", "-Stamp\""),
        concat!("\"Not", "-Executed\""),
        concat!("\"Token", "-Usage\""),
        concat!("\"Previous", "-Turn\""),
        concat!("\"Finish", "-Ms\""),
        concat!("\"Expect", "-Instance\""),
        concat!("\"Prompt", "-Prefix\""),
        concat!("\"create", "Rev\""),
        concat!("precondition", ":"),
        concat!("gapAim", "Ms"),
        concat!("heartbeat", "Ms"),
        concat!("/-/", "kv-"),
        concat!("/-/", "report"),
        concat!("not-", "executed"),
        concat!("token-", "usage"),
        concat!("expect-", "instance"),
    ];
    let mut found = Vec::new();
    for source in sources() {
        let is_this_file = source.path.ends_with("tests/tidy.rs");
        let named = needles.iter().any(|needle| source.text.contains(needle));
        if named && !is_this_file && !source.path.starts_with(adapter()) {
            found.push(source.path.display().to_string());
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn files_are_short() {
    let long: Vec<String> = sources()
        .iter()
        .map(|source| (source.text.lines().count(), source.path.display()))
        .filter(|(lines, _)| *lines > MAX_LINES)
        .map(|(lines, path)| format!("{path}: {lines} lines"))
        .collect();
    assert!(long.is_empty(), "{long:#?}");
}

#[test]
fn each_module_has_a_doc_comment() {
    let undocumented: Vec<String> = sources()
        .iter()
        .filter(|source| !source.path.ends_with("tests.rs") && !source.text.starts_with("//!"))
        .map(|source| source.path.display().to_string())
        .collect();
    assert!(undocumented.is_empty(), "{undocumented:#?}");
}

#[test]
fn imports_are_in_three_groups() {
    let mixed: Vec<String> = sources().iter().filter_map(mixed_block).collect();
    assert!(mixed.is_empty(), "{mixed:#?}");
}

/// Returns the first of the import blocks at the top of a file whose lines belong to different
/// groups.
fn mixed_block(source: &Source) -> Option<String> {
    let blocks = source
        .text
        .split("\n\n")
        .filter(|block| block.starts_with("use "));
    for block in blocks.take(3) {
        let imports = block.lines().filter(|line| line.starts_with("use "));
        let groups: Vec<u8> = imports.map(group).collect();
        if groups.iter().any(|other| *other != groups[0]) {
            return Some(format!(
                "{}: {}",
                source.path.display(),
                block.lines().next()?
            ));
        }
    }
    None
}

/// Returns the group of an import: 0 for the standard library, 1 for other crates, 2 for this
/// crate.
fn group(line: &str) -> u8 {
    let path = line.trim_start_matches("use ");
    let root = path
        .split("::")
        .next()
        .unwrap_or_default()
        .trim_end_matches(';');
    match root {
        "std" | "core" | "alloc" => 0,
        "crate" | "super" | "self" => 2,
        _ => 1,
    }
}

fn assert_clean(what: &str, fault: &dyn Fn(&str) -> bool) {
    let mut found = Vec::new();
    for source in sources() {
        let lines = source
            .text
            .lines()
            .enumerate()
            .filter(|(_, line)| fault(line));
        found.extend(lines.map(|(at, _)| format!("{}:{}", source.path.display(), at + 1)));
    }
    assert!(found.is_empty(), "{what}: {found:#?}");
}

/// Returns the folder of the adapter for the users' platform.
fn adapter() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../platform")
}

fn sources() -> Vec<Source> {
    let mut found = Vec::new();
    let crates = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    walk(&crates, &mut found);
    walk(&adapter(), &mut found);
    assert!(!found.is_empty());
    found
}

fn walk(folder: &Path, found: &mut Vec<Source>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            walk(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).unwrap();
            found.push(Source { path, text });
        }
    }
}

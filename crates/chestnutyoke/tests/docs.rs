//! Compares the reference pages with the tables in the code, so that the pages stay correct.

use std::fs;
use std::path::PathBuf;

use settings::check;
use settings::schema;
use wire::code::Code;
use wire::event::Event;

#[test]
fn the_errors_page_lists_every_code() {
    let row = |code: &Code| {
        format!(
            "| CY{} | {} | {} |",
            code.number(),
            code.status(),
            code.text()
        )
    };
    let rows: Vec<String> = Code::ALL.iter().map(row).collect();
    compare(&page("ERRORS.md"), "| CY", &rows);
}

#[test]
fn the_events_page_lists_every_event() {
    let row = |event: &Event| format!("| E{} | {} |", event.number(), event.text());
    let rows: Vec<String> = Event::ALL.iter().map(row).collect();
    compare(&page("EVENTS.md"), "| E", &rows);
}

#[test]
fn numbers_are_unique_and_ascending() {
    assert!(Code::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(Event::ALL.is_sorted_by(|a, b| a.number() < b.number()));
}

#[test]
fn the_settings_page_lists_every_key() {
    let mut expected = String::new();
    for table in schema::TABLES {
        for key in table.keys {
            let default = key
                .default
                .map_or("required".to_owned(), |text| format!("`{text}`"));
            let allowed = check::allowed(key.kind);
            let row = format!(
                "| `{}.{}` | {allowed} | {default} | {} |\n",
                table.name, key.name, key.doc
            );
            expected.push_str(&row);
        }
    }
    let page = page("SETTINGS.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<&str> = expected.lines().collect();
    assert_eq!(rows, expected);
}

fn page(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(root.join(name)).unwrap()
}

/// Checks that the page has exactly these rows, in this order, each followed by an explanation.
fn compare(page: &str, prefix: &str, rows: &[String]) {
    let numbered = |line: &&str| {
        let rest = line.strip_prefix(prefix);
        rest.is_some_and(|rest| rest.starts_with(|c: char| c.is_ascii_digit()))
    };
    let lines: Vec<&str> = page.lines().filter(numbered).collect();
    let is_present = |row: &&String| lines.iter().any(|line| line.starts_with(row.as_str()));
    let missing: Vec<&String> = rows.iter().filter(|row| !is_present(row)).collect();
    assert!(missing.is_empty(), "missing rows:\n{missing:#?}");
    assert_eq!(
        lines.len(),
        rows.len(),
        "the page has rows that the code doesn't have"
    );
    for (line, row) in lines.iter().zip(rows) {
        let explanation = line
            .strip_prefix(row.as_str())
            .expect("rows are ordered by number");
        assert!(
            explanation.trim_matches([' ', '|']).len() > 10,
            "no explanation: {line}"
        );
    }
}

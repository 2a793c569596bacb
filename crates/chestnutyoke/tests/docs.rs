//! Compares the reference pages with the tables in the code, so that a page never lies.

use std::fs;
use std::path::PathBuf;

use settings::check;
use settings::schema;
use wire::code::Code;
use wire::event::Event;

#[test]
fn the_page_of_errors_has_each_code() {
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
fn the_page_of_events_has_each_event() {
    let row = |event: &Event| format!("| E{} | {} |", event.number(), event.text());
    let rows: Vec<String> = Event::ALL.iter().map(row).collect();
    compare(&page("EVENTS.md"), "| E", &rows);
}

#[test]
fn numbers_grow_and_stand_once() {
    assert!(Code::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(Event::ALL.is_sorted_by(|a, b| a.number() < b.number()));
}

#[test]
fn the_page_of_settings_has_each_key() {
    let mut wanted = String::new();
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
            wanted.push_str(&row);
        }
    }
    let page = page("SETTINGS.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let wanted: Vec<&str> = wanted.lines().collect();
    assert_eq!(rows, wanted);
}

fn page(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    fs::read_to_string(root.join(name)).unwrap()
}

/// Checks that the page has exactly these rows, in this order, each with an explanation behind.
fn compare(page: &str, opening: &str, rows: &[String]) {
    let numbered = |line: &&str| {
        let rest = line.strip_prefix(opening);
        rest.is_some_and(|rest| rest.starts_with(|c: char| c.is_ascii_digit()))
    };
    let lines: Vec<&str> = page.lines().filter(numbered).collect();
    let stands = |row: &&String| lines.iter().any(|line| line.starts_with(row.as_str()));
    let missing: Vec<&String> = rows.iter().filter(|row| !stands(row)).collect();
    assert!(missing.is_empty(), "missing rows:\n{missing:#?}");
    assert_eq!(
        lines.len(),
        rows.len(),
        "the page has rows that the code doesn't have"
    );
    for (line, row) in lines.iter().zip(rows) {
        let explanation = line.strip_prefix(row.as_str()).expect("rows go by number");
        assert!(
            explanation.trim_matches([' ', '|']).len() > 10,
            "no explanation: {line}"
        );
    }
}

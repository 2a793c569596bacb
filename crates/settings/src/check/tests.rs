use rstest::rstest;

use super::*;

const COMPLETE: &str = r#"
[vm]
name = "tas-a-1"
centre = "tas-a"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
[platform]
addresses = ["127.0.0.1:2379"]
timeout = "250ms"
[[centres]]
name = "tas-a"
shards = 8
"#;

#[test]
fn a_complete_file_is_accepted_with_its_defaults() {
    let settings = parse(COMPLETE).unwrap();
    assert_eq!(settings.platform.timeout.as_u64(), 250);
    assert_eq!(settings.limits, vm::Limits::default());
}

#[test]
fn printed_settings_are_accepted_again() {
    let settings = parse(COMPLETE).unwrap();
    let printed = toml::to_string(&settings).unwrap();
    assert_eq!(parse(&printed), Ok(settings));
}

/// The defaults in the schema equal those of the types: the settings that result from a file
/// without the optional keys hold each key's documented default.
#[test]
fn the_documented_defaults_match_the_types() {
    let bare = parse(COMPLETE).unwrap();
    let mut root: toml::Table = toml::from_str(&toml::to_string(&bare).unwrap()).unwrap();
    for table in schema::TABLES
        .iter()
        .filter(|t| matches!(t.count, Count::Optional | Count::One))
    {
        for key in table.keys {
            let Some(default) = key.default.filter(|_| key.name != "timeout") else {
                continue;
            };
            let value: toml::Table = toml::from_str(&format!("x = {default}")).unwrap();
            let keys = root.get_mut(table.name).unwrap().as_table_mut().unwrap();
            assert_eq!(
                keys.get(key.name),
                value.get("x"),
                "{}.{}",
                table.name,
                key.name
            );
        }
    }
}

#[rstest]
#[case(
    "timeout = \"250ms\"",
    "timeout = 250",
    "line 11: `platform.timeout = 250`"
)]
#[case(
    "timeout = \"250ms\"",
    "timeout = \"9h\"",
    "line 11: `platform.timeout = \"9h\"`"
)]
#[case(
    "timeout = \"250ms\"",
    "timeuot = \"1s\"",
    "line 11: unknown key `platform.timeuot`"
)]
#[case("shards = 8", "shards = 0", "line 14: `centres.shards = 0`")]
#[case("shards = 8", "", "key `centres.shards` is missing")]
#[case("[[centres]]", "[centres]", "`centres` is written [[centres]]")]
#[case("name = \"tas-a-1\"", "name = \"a b\"", "line 3: `vm.name = \"a b\"`")]
#[case(
    "127.0.0.1:8082",
    "localhost",
    "line 8: `listen.admin = \"localhost\"`"
)]
#[case("[\"127.0.0.1:2379\"]", "[]", "the list is empty")]
#[case("[listen]", "[lisen]", "unknown table `lisen`")]
#[case("centre = \"tas-a\"", "centre = \"tas-b\"", "isn't one of `centres`")]
#[case("centre = \"tas-a\"", "centre = ", "line 4:")]
fn a_fault_is_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let faults = parse(&COMPLETE.replacen(from, to, 1)).unwrap_err();
    let report: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(
        report.iter().any(|line| line.contains(expected)),
        "{report:#?}"
    );
}

#[test]
fn all_faults_are_reported_at_once_sorted_by_line() {
    let broken = COMPLETE
        .replace("tas-a-1", "")
        .replace("8081", "x")
        .replace("250ms", "250")
        .replace("shards = 8", "shards = -1");
    let faults = parse(&broken).unwrap_err();
    let lines: Vec<usize> = faults.iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [3, 7, 11, 14]);
}

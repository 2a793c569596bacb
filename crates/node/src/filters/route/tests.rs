use super::*;

fn settings() -> Settings {
    settings::vm::parse(
        r#"
        centres = [{ name = "a-1", shards = 4 }, { name = "b", shards = 4 }]
        [vm]
        name = "v"
        centre = "a-1"
        [listen]
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        [platform]
        addresses = []
        "#,
    )
    .unwrap()
}

#[test]
fn a_generated_id_names_its_home() {
    let settings = settings();
    for centre in &settings.centres {
        for random in 0..50 {
            let program = random_id(&centre.name, random);
            assert_eq!(shard(&settings, &program).centre, centre.name);
        }
    }
}

#[test]
fn chosen_ids_spread_over_centres_and_shards() {
    let settings = settings();
    let mut seen = Vec::new();
    for n in 0..200 {
        let program = id::Program::parse(&format!("berth-{n}")).unwrap();
        seen.push(shard(&settings, &program));
    }
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 8);
}

use std::env;
use std::fs;
use std::process;

use wire::clock::Millis;

use crate::check::Case;
use crate::check::Check;
use crate::check::Results;
use crate::disk::Stalls;
use crate::fault::Fault;
use crate::oracle::Counts;
use crate::report::Report;
use crate::report::Sample;
use crate::schedule::Step;

use super::draw;
use super::rates;

fn sample(at: u64, served: u64) -> Sample {
    Sample {
        at: Millis::new(at),
        counts: Counts {
            served,
            ..Counts::default()
        },
    }
}

fn report() -> Report {
    let mut checks = Results::default();
    let case = Case {
        at: Millis::new(2_500),
        request: String::new(),
        vm: String::new(),
        what: "a trial".to_owned(),
    };
    checks.record(Check::Kept, Some(case));
    let step = |at, fault| Step {
        at: Millis::new(at),
        fault,
    };
    Report {
        seed: 7,
        traffic_from: Millis::new(0),
        done: vec![
            step(1_000, Fault::Stop(1)),
            step(2_000, Fault::Pause(2, Millis::new(800))),
        ],
        counts: Counts::default(),
        samples: vec![sample(1_000, 10), sample(2_000, 30), sample(4_000, 40)],
        checks,
        calm: Vec::new(),
        late: Millis::new(0),
        disk: Stalls::default(),
    }
}

#[test]
fn rates_are_per_second() {
    let rates = rates(&report(), |counts| counts.served);
    assert_eq!(rates, [(2.0, 20.0), (4.0, 5.0)]);
}

#[test]
fn the_picture_names_the_faults() {
    let file = env::temp_dir().join(format!("chestnutyoke-plot-{}.svg", process::id()));
    draw(&report(), &file).unwrap();
    let text = fs::read_to_string(&file).unwrap();
    fs::remove_file(&file).unwrap();
    for word in ["<svg", "seed 7", "served", "stop", "pause", "broken"] {
        assert!(text.contains(word), "{word}");
    }
    assert!(text.contains("<circle"), "what broke a check is marked");
}

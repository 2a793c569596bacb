//! Plays programs whose turns arrive at one of many VMs after the other, in front of engines with a
//! bounded memory, and checks what callers get and what engines read again: with homes
//! (`policy::home`), without, and with other ways to find the engine that has read a history. The
//! seeds are fixed, so the results never vary.
//!
//! While an engine reads a prompt, all its other streams stop. A VM knows its own requests at once,
//! and those of the others as of the last report.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token and millisecond counts stay far below 2^52"
)]

use play::FIRST_PARTS;
use play::Outcome;
use play::Play;
use play::Way;
use rstest::rstest;
use state::play;

#[path = "homes/engine.rs"]
mod engine;
#[path = "homes/placement.rs"]
mod placement;
#[path = "homes/play.rs"]
mod play;
#[path = "homes/state.rs"]
mod state;

const SEED: u64 = 1;

/// Turns of a program arrive at any of many VMs. Of each prompt, engines would read 12 to 15 in a
/// hundred tokens again, while their other streams stop; asked is less than 8. All VMs restart in
/// the middle, and an engine fails.
#[rstest]
#[case::few_vms(30, 0.6)]
#[case::many_vms(120, 0.6)]
#[case::few_vms_at_capacity(30, 1.0)]
#[case::many_vms_at_capacity(120, 1.0)]
fn histories_are_found_at_home(#[case] vms: usize, #[case] load: f64) {
    let [alone, home] = [Way::Alone, Way::Home].map(|way| run(way, vms, load));
    assert!(home.again() < 0.08, "{home:?}");
    assert!(home.turns >= alone.turns, "{} {}", home.turns, alone.turns);
    let [before, after] = [&alone, &home].map(|outcome| outcome.time(0.95));
    assert!(after <= before, "{after} {before}");
}

/// Homes are no more than a preference: engines that many programs call home would be overloaded
/// while others are idle.
#[rstest]
#[case::idle(0.6)]
#[case::at_capacity(1.0)]
#[case::over_capacity(1.3)]
fn load_is_spread_as_without_homes(#[case] load: f64) {
    let [alone, home] = [Way::Alone, Way::Home].map(|way| run(way, 120, load));
    let bound = alone.imbalance() * 1.2;
    assert!(home.imbalance() <= bound, "{} {bound}", home.imbalance());
}

/// Callers ask for more than the engines can do. Turns leave homes that are full; if they met
/// nowhere, engines would read more and do less than without homes.
#[test]
fn homes_do_not_lower_the_goodput_of_an_overload() {
    let [alone, home] = [Way::Alone, Way::Home].map(|way| run(way, 120, 1.3));
    assert!(home.turns >= alone.turns, "{} {}", home.turns, alone.turns);
    assert!(home.again() < alone.again());
}

/// All VMs restart and forget what they sent. Homes need nothing that they knew.
#[test]
fn a_restart_of_all_vms_loses_no_home() {
    let home = run(Way::Home, 120, 0.6);
    assert!(home.again_after()[0] < 0.08, "{home:?}");
}

/// An engine fails that is home to a part of the programs, and loses its memory. They go on at their
/// second homes, and callers wait no longer than without homes.
#[test]
fn a_home_that_fails_delays_no_caller_more() {
    let [alone, home] = [Way::Alone, Way::Home].map(|way| run(way, 120, 0.6));
    assert!(home.again_after()[1] < 0.08, "{:?}", home.after);
    let [before, after] = [&alone, &home].map(|outcome| {
        let times = &outcome.times_after_failure;
        times[times.len() * 95 / 100]
    });
    assert!(after <= before, "{after} {before}");
}

/// Half the programs begin with the same part. With their homes in a quarter of the pool they waited
/// longer than without homes.
#[rstest]
#[case::idle(0.6)]
#[case::at_capacity(1.0)]
fn a_part_of_half_the_programs_does_not_slow_them(#[case] load: f64) {
    let [alone, home] = [Way::Alone, Way::Home].map(|way| {
        run_play(Play {
            way,
            vms: 120,
            load,
            first_parts: 3,
            seed: SEED,
        })
    });
    assert!(home.again() < 0.08, "{home:?}");
    assert!(home.turns >= alone.turns, "{} {}", home.turns, alone.turns);
    let [before, after] = [&alone, &home].map(|outcome| outcome.time(0.95));
    assert!(after <= before, "{after} {before}");
}

fn run(way: Way, vms: usize, load: f64) -> Outcome {
    run_play(Play {
        way,
        vms,
        load,
        first_parts: FIRST_PARTS,
        seed: SEED,
    })
}

fn run_play(parameters: Play) -> Outcome {
    let outcome = play(parameters);
    println!("{}", outcome.row(&parameters));
    outcome
}

/// Prints what the ways do; the figures are in docs/design/homes.md. A way that reads less than one
/// that sees all engines would show that the play is wrong.
#[test]
fn ways_are_compared() {
    println!("way, first parts, VMs, load | turns | % read again (after the restart, the failure)");
    println!("= histories, first parts under way, evicted, spread | ms p50 p95 p99 | imbalance");
    for load in [0.6, 1.0, 1.3] {
        for vms in [30, 120] {
            let oracle = run(Way::Oracle, vms, load);
            for way in [
                Way::Alone,
                Way::Home,
                Way::SessionHome,
                Way::Told,
                Way::ToldPlaces,
            ] {
                assert!(oracle.again() < run(way, vms, load).again(), "{way:?}");
            }
        }
    }
}

//! Measures how the cost of the control traffic for a VM grows with the number of VMs, endpoints
//! and shards.
//!
//! `cargo run --release -p node --example slopes` starts itself again as VMs on loopback, each a
//! process with a node, lets them idle and prints the resource usage of each. The stand-in platform
//! and runners run in the first process. `… -- model` instead simulates the heartbeats of large
//! fleets in one process: the frames and bytes are real, the clock is simulated.

mod child;
mod model;
mod parent;

use clap::Arg;
use clap::Command;

fn main() {
    let required = |name| Arg::new(name).required(true);
    let command = Command::new("slopes")
        .subcommand(Command::new("model"))
        .subcommand(
            Command::new("child")
                .arg(required("settings"))
                .about("Run one VM; started by the first process"),
        );
    let matches = command.get_matches();
    match matches.subcommand() {
        Some(("child", arguments)) => {
            let settings = arguments.get_one::<String>("settings").expect("required");
            child::run(settings);
        }
        Some(("model", _)) => model::run(),
        _ => parent::run(),
    }
}

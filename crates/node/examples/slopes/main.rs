//! What control costs a VM, against the number of VMs, endpoints and shards.
//!
//! `cargo run --release -p node --example slopes` starts itself again as VMs, each a process with a
//! node, on loopback, beside a stand-in platform and runners in the first process, lets them idle
//! and prints what each used. `… -- model` instead plays the heartbeats of the letter's fleet in
//! one process under a played clock: frames and bytes are the real ones, time is not.

mod child;
mod model;
mod parent;

use clap::Arg;
use clap::Command;

fn main() {
    let word = |name| Arg::new(name).required(true);
    let command = Command::new("slopes")
        .subcommand(Command::new("model"))
        .subcommand(
            Command::new("child")
                .arg(word("settings"))
                .about("One VM; started by the first process"),
        );
    let matches = command.get_matches();
    match matches.subcommand() {
        Some(("child", given)) => {
            let settings = given.get_one::<String>("settings").expect("required");
            child::run(settings);
        }
        Some(("model", _)) => model::run(),
        _ => parent::run(),
    }
}

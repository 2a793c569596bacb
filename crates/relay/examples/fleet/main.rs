//! Simulates fleets of doubling sizes without sockets. Prints how soon all VMs agree, and the
//! control traffic of each VM by mechanism. The same seed gives the same figures, except for
//! processor time, which depends on the machine that runs the simulation.

#[path = "../../tests/fleet_model/mod.rs"]
mod fleet_model;

mod measure;
mod plot;
mod table;

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use fleet_model::world::Size;
use measure::Figures;

/// Number of VMs of the smallest fleet.
const SMALLEST: usize = 12;

fn main() {
    let matches = command().get_matches();
    let vms: usize = number(&matches, "vms");
    let runners: usize = number(&matches, "runners");
    let figures: Vec<Figures> = sizes(vms)
        .into_iter()
        .map(|size| {
            eprintln!("{size} VMs");
            measure::simulate(Size {
                vms: size,
                runners: (runners * size / vms).max(1),
                centres: number(&matches, "centres"),
                under_way: number(&matches, "under-way"),
                seed: number(&matches, "seed"),
            })
        })
        .collect();
    if matches.get_flag("json") {
        println!("{}", table::json(&figures));
    } else {
        print!("{}", table::text(&figures));
    }
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        plot::draw(&figures, path).expect("the plot can be written");
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(usize))
    };
    Command::new("fleet")
        .about("Simulates the fleet without sockets, at doubling sizes up to --vms")
        .arg(number("vms", "300").help("VMs of the largest fleet"))
        .arg(number("runners", "600").help("Runners of the largest fleet; smaller ones have fewer"))
        .arg(number("centres", "4").help("Data centres"))
        .arg(number("under-way", "60").help("Requests that each VM has in flight"))
        .arg(number("seed", "1").help("Seed of all random choices"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints JSON"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_parser(value_parser!(PathBuf))
                .help("Writes a plot to this file"),
        )
}

fn number<T: TryFrom<usize>>(matches: &ArgMatches, name: &str) -> T {
    let number = matches.get_one::<usize>(name).copied();
    let number = number.expect("it has a default");
    T::try_from(number).unwrap_or_else(|_| panic!("--{name} is too large"))
}

/// Returns the sizes to simulate: doubling ones, then the largest.
fn sizes(largest: usize) -> Vec<usize> {
    let doubled = std::iter::successors(Some(SMALLEST), |size| Some(size * 2));
    let mut sizes: Vec<usize> = doubled.take_while(|size| *size < largest).collect();
    sizes.push(largest);
    sizes
}

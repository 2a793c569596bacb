//! Plays fleets of doubling sizes without sockets and prints how soon all VMs agree, and what each
//! sends and gets for control, by mechanism. The same seed gives the same figures, but for processor
//! time, which is that of the machine that plays.

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

/// The smallest fleet.
const SMALLEST: usize = 12;

fn main() {
    let matches = command().get_matches();
    let vms: usize = number(&matches, "vms");
    let runners: usize = number(&matches, "runners");
    let figures: Vec<Figures> = sizes(vms)
        .into_iter()
        .map(|of| {
            eprintln!("{of} VMs");
            measure::play(Size {
                vms: of,
                runners: (runners * of / vms).max(1),
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
        .about("Plays the fleet without sockets, at doubling sizes up to --vms")
        .arg(number("vms", "300").help("VMs of the largest fleet"))
        .arg(number("runners", "600").help("Runners of the largest fleet; smaller ones have fewer"))
        .arg(number("centres", "4").help("Data centres"))
        .arg(number("under-way", "60").help("Requests that each VM has under way"))
        .arg(number("seed", "1").help("What all is drawn from"))
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

/// Yields the sizes to play: doubling ones, and the largest.
fn sizes(most: usize) -> Vec<usize> {
    let doubled = std::iter::successors(Some(SMALLEST), |size| Some(size * 2));
    let mut sizes: Vec<usize> = doubled.take_while(|size| *size < most).collect();
    sizes.push(most);
    sizes
}

//! The command line.

use clap::Command;

fn main() {
    let command = Command::new("chestnutyoke").about("A scheduler for agent programs");
    let _matches = command.arg_required_else_help(true).get_matches();
}

//! The stand-ins' command line.

use clap::Command;

fn main() {
    let command = Command::new("chestnutyoke-standin").about("Stand-ins for the systems outside");
    let _matches = command.arg_required_else_help(true).get_matches();
}

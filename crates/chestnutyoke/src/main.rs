//! The binary: daemon and operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnutyoke::cli::run()
}

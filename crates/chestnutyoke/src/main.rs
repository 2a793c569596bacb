//! The daemon and the operators' tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    chestnutyoke::cli::run()
}

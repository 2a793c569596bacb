//! The subcommands of the command line, a module for each group.

pub mod apply;
pub mod change;
pub mod check;
pub mod show;
pub mod trace;

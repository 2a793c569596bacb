//! What the command line can do, a module for each group of commands.

pub mod apply;
pub mod change;
pub mod check;
pub mod show;
pub mod trace;

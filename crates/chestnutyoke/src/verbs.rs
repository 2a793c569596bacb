//! What the command line can do, a module for each group of verbs.

pub mod check;

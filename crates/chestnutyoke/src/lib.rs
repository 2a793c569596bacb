//! A scheduler for agent programs. This crate is the library's front; the daemon in `main.rs` is
//! a thin layer over it.

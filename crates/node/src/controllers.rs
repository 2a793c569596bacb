//! The controllers that keep a VM's state: each a pure decision module, which is given the time
//! and what was heard, beside a thin task that does the traffic and publishes a
//! [`crate::view::View`].

pub mod config;

//! One VM's part of the system: the filters that a request passes and the controllers that keep
//! its state.

pub mod controllers;
pub mod core;
pub mod owner;
pub mod peer;
pub mod trace;
pub mod view;

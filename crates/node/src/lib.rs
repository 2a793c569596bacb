//! One VM's part of the system: the filters that a request passes and the controllers that keep
//! its state.
//!
//! A request's path, top to bottom: [`http::listen`] accepts it; [`filters`] parse, authenticate,
//! route and forward it; [`owner`] orders, journals and commits it; [`dispatch`] runs it at an
//! endpoint; [`filters::answer`] renders what comes back. [`start`] puts a node together, `stop` takes it apart.

pub mod admin;
pub mod controllers;
pub mod core;
pub mod dispatch;
pub mod filters;
pub mod http;
pub mod metrics;
pub mod operate;
pub mod owner;
pub mod peer;
pub mod start;
mod stop;
pub mod trace;
pub mod view;

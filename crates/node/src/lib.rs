//! The process that runs on each VM: the filters that handle a request, and the controllers that
//! maintain the node's state.
//!
//! A request's path: [`http::listen`] accepts it; [`filters`] parse, authenticate, route and
//! forward it; [`owner`] orders, journals and commits it; [`dispatch`] runs it at an endpoint;
//! [`filters::answer`] renders the replies. [`start`] starts a node, and `stop` shuts it down.

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

//! A small virtual-clock driver around the decisions: endpoints, VMs and callers as plain state,
//! an event heap, no network. It plays a pattern of load under one policy and tells what callers
//! got. Shared by the example `patterns` and the tests.

#![allow(
    dead_code,
    reason = "the example and the tests each use a part of the driver"
)]
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the driver reckons in tokens and milliseconds far below 2^52"
)]

pub mod dcaf;
pub mod deployment;
pub mod driver;
pub mod engine;
pub mod outcome;
pub mod rules;
pub mod vm;
pub mod work;

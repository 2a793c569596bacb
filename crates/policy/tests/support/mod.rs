//! A small simulator for the policy decisions, on a virtual clock: endpoints, VMs and callers are
//! plain state, driven by an event heap, without a network. It runs a load pattern under one set of
//! rules and reports the results for the callers. Shared by the example `patterns` and the tests.

#![allow(
    dead_code,
    reason = "the example and the tests each use a part of the driver"
)]
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token and millisecond counts stay far below 2^52"
)]

pub mod dcaf;
pub mod deployment;
pub mod driver;
pub mod engine;
pub mod outcome;
pub mod rules;
pub mod vm;
pub mod work;

//! Proof that a VM's configuration was current at some time, passed on between VMs.
//!
//! A VM that reads the configuration at the key-value service knows that it was current when the
//! read was *sent*: a change that was acknowledged before would have been in the answer. Clocks of
//! VMs don't agree, and a message may be held up for seconds, so what travels is an age that counts
//! from a time of the recipient's own clock: each message carries a [`Stamp`] of its sender's clock,
//! and the other VM returns it in its next message. The configuration was current at the stamp's
//! time less the age that comes with it, because the age was taken after the stamp had been made.

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

/// A time of a process's own clock. Times of different processes can't be compared, also not those
/// of two processes of the same VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// A random number of the process.
    pub process: u64,
    /// The time.
    pub at: Millis,
}

/// What a message says of the sender's configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The time at which the sender made the message.
    pub stamp: Option<Stamp>,
    /// The last stamp that the sender had from the recipient.
    pub echo: Option<Stamp>,
    /// The age of the sender's knowledge when it made the message, in milliseconds; `None` if it
    /// doesn't know that its configuration was ever current.
    pub age: Option<u64>,
}

/// Returns since when the sender's configuration is known to have been current, in the time of the
/// process that gets the message.
#[must_use]
pub fn current_at(proof: &Proof, process: u64, now: Millis) -> Option<Millis> {
    let echo = proof.echo?;
    let is_own = echo.process == process && echo.at <= now;
    is_own.then_some(Millis::new(echo.at.as_u64().checked_sub(proof.age?)?))
}

#[cfg(test)]
mod tests;

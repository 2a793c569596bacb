//! Whether what the configuration in force says of a turn may be final.
//!
//! A turn that continues another one was allowed by some configuration, maybe by a later one than this VM
//! knows. That its path isn't there, or keeps no turns, is certain only once the configuration is known to have been current
//! after the turn arrived: whatever allowed the turn before it would then be part of it. Such a proof comes at
//! regular intervals, and requests wait for it without asking for one.

use wire::clock::Millis;

/// How long a request waits for a proof at most: callers give up soon after on a VM that doesn't read their
/// request.
const MAX_WAIT: Millis = Millis::new(1_000);
/// Divisor of a request's time that gives how long it may wait: another VM needs the rest.
const WAIT_DIVISOR: u64 = 3;

/// What may be said of a request that the configuration doesn't allow, or whose history it doesn't keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No configuration that was in force before the request arrived says otherwise.
    Final,
    /// A proof may come within this time.
    Wait(Millis),
    /// A later configuration may say otherwise.
    Open,
}

/// How old the knowledge of the configuration is, and how old it becomes while proofs arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// The age; `None` if nothing shows that the configuration was ever current.
    pub age: Option<Millis>,
    /// The age that it exceeds only if proofs fail to arrive.
    pub max_age: Millis,
}

/// Returns how long a request with this much time may wait for a proof.
#[must_use]
pub fn max_wait(time_limit: Millis) -> Millis {
    MAX_WAIT.min(Millis::new(time_limit.as_u64() / WAIT_DIVISOR))
}

/// Decides on a request that arrived `waited` ago and may wait for `max_wait`.
#[must_use]
pub fn decide(knowledge: Knowledge, waited: Millis, max_wait: Millis) -> Verdict {
    let Knowledge { age, max_age } = knowledge;
    match age {
        Some(age) if age < waited => Verdict::Final,
        Some(age) if age < max_age && waited < max_wait => {
            Verdict::Wait(max_age.since(age).min(max_wait.since(waited)))
        }
        Some(_) | None => Verdict::Open,
    }
}

#[cfg(test)]
mod tests;

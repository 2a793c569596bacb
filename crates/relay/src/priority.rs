//! How urgent an engine should take a turn.
//!
//! Answers more programs than the engines can finish in time. Taken in the order of their arrival,
//! all of them grow late together, and an engine whose memory runs out puts back turns of programs
//! that are nearly done, which then read all of their prompts again. So within a rank, turns of
//! programs under way go before turns that begin one: what was invested is finished first.

/// The ranks that are told apart; routes beyond count as the last one.
const RANKS: u8 = 4;

/// Yields the priority of a turn, from 0 (first): 1 to 8, so that turns without one (5) stand in the
/// middle. `begins` tells whether it is the first of a program.
#[must_use]
pub fn of(rank: u8, begins: bool) -> u8 {
    1 + 2 * rank.min(RANKS - 1) + u8::from(begins)
}

#[cfg(test)]
mod tests;

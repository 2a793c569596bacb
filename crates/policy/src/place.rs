//! Where a call goes.
//!
//! Answers few hot programs, slow endpoints and lagging load reports. Without it a program leaves
//! the endpoint that has its prefix and pays for all of its history again, or stays there behind a
//! full batch; all VMs send to the endpoint that the last report showed idle; and a slow endpoint
//! gets as much as a fast one.
//!
//! The cost of an endpoint is in milliseconds: the expected wait and run, plus the prefill of what
//! its cache lacks. The prefill counts twice over, once as latency and once as wasted work, each
//! with the deployment's weight; so a deployment that minds wasted cache waits longer for the
//! endpoint that has the prefix.
//!
//! Load reports lag by up to two seconds, so the calls that the VM itself has sent and ended since
//! the report are added. Other VMs' calls can't be known; endpoints whose costs lie within
//! [`TIE`] of the best are chosen among by the call's salt, so that VMs that see the same report
//! don't all pick the same endpoint. Among those, one in the VM's own data centre goes first: what
//! crosses data centres is paid for, and hangs when one of them is cut off.

use crate::class::Class;

/// Costs within this share of the best one count as equal.
///
/// A report that is a second old is off by about the calls that start and end in a second; with
/// calls of some seconds that is near a tenth of a full batch.
pub const TIE: f64 = 0.1;
/// One endpoint in so many is a lane for urgent calls.
///
/// An urgent call in a full batch takes about twice as long as alone, as each call slows the
/// others and their prefills stop it; a free slot there is no help. The same reserve in one place,
/// an endpoint that routine calls leave nearly empty, lets it run as if there were no load.
pub const LANE_OF: usize = 16;
/// The smallest fleet that has a lane; a smaller one would give up more than an eighth of itself
/// and keeps one slot free at each endpoint instead.
pub const LANE_FLEET: usize = 8;
/// The share of a lane's slots that routine calls may use, so that it isn't idle when nothing
/// urgent comes: one slot of sixteen, which an urgent call hardly feels.
pub const LANE_ROUTINE: f64 = 0.0625;
/// Calls that may be sent ahead of a free slot to the endpoint that has most of their prompt, as a
/// share of the slots.
///
/// A VM learns late that another VM's call has ended; without calls at hand the endpoint runs
/// below its slots meanwhile, and its programs leave their prefix for slots elsewhere; more
/// than that only waits. The endpoint hears urgent calls first among those that wait at it.
pub const AHEAD: f64 = 0.5;

/// The share of its speed that each call of a batch loses while a prompt is prefilled beside it.
///
/// An engine shares each of its steps between the two.
pub const TOLL: f64 = 0.3;

/// An endpoint that may run the call, as this VM sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// How many calls it works on at once.
    pub slots: u32,
    /// Calls that it worked on and that waited at it when it made its report.
    pub reported: u32,
    /// Calls that this VM has sent to it since the report was made.
    pub sent: u32,
    /// Calls of this VM's that were in the report and have ended since.
    pub ended: u32,
    /// Calls of this VM that are ahead of this one and wait for this endpoint. Without them every
    /// call that waits takes itself for the next one there, and slower endpoints stay idle.
    pub claimed: u32,
    /// Tokens a second that it generates for one call, as measured over some ten seconds.
    pub speed: f64,
    /// Prompt tokens a second that it prefills, as measured.
    pub prefill: f64,
    /// Prompt tokens of this call that its cache is thought to hold.
    pub cached: u64,
    /// The share of its slots that may be used, from [`crate::slow_start`] and [`crate::eject`]: 1 for
    /// an endpoint in good standing, 0 for one that gets nothing.
    pub share: f64,
    /// What it is kept for; see [`lanes`].
    pub lane: Lane,
    /// What the way to it costs, in milliseconds: 0 in the VM's own data centre.
    pub network_cost: f64,
}

/// What an endpoint is kept for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lane {
    /// All work alike, in a fleet that has a lane for urgent work elsewhere.
    #[default]
    Open,
    /// All work, with a slot kept free for urgent calls, in a fleet too small for a lane.
    Shared,
    /// Urgent work, with little else.
    Urgent,
}

/// What has to be known of a call to place it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Its class.
    pub class: Class,
    /// Tokens of the whole prompt.
    pub prompt: u64,
    /// Tokens that it is expected to generate.
    pub output: u64,
    /// Draws among equally good endpoints; differs from call to call.
    pub salt: u64,
}

/// What a deployment minds, as plain factors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of a millisecond that the caller waits.
    pub latency: f64,
    /// Weight of a millisecond of prefill that a cache would have saved.
    pub cache: f64,
}

impl Default for Weights {
    /// Yields the weights of a deployment that minds both the same.
    fn default() -> Self {
        Self {
            latency: 1.0,
            cache: 1.0,
        }
    }
}

/// Whether a call can start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// A slot is thought to be free.
    Now,
    /// Waiting for the endpoint is thought better than going elsewhere now.
    Later,
}

/// The endpoint chosen and the numbers that made it so, for the decision's log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Its place among the candidates.
    pub index: usize,
    /// Whether the call can start there.
    pub start: Start,
    /// The expected wait for a slot, in milliseconds.
    pub wait: f64,
    /// The expected prefill of what the cache lacks, in milliseconds.
    pub miss: f64,
    /// The expected time of generation, in milliseconds.
    pub run: f64,
    /// The weighted sum that was compared.
    pub cost: f64,
    /// The lowest cost among the other candidates; infinite where there was no other.
    pub runner_up_cost: f64,
}

/// The weight of the latest report in an endpoint's speed: with two reports a second the figure is
/// made of some ten seconds.
pub const FRESH: f64 = 0.1;

/// Yields the speed to reckon with, from the one so far and the latest report's.
///
/// The speed of the moment falls by a third while a prompt is prefilled beside the batch; calls
/// that are placed by it flee from their prefix and cause the same elsewhere.
#[must_use]
pub fn smoothed(speed: f64, latest: f64) -> f64 {
    speed + FRESH * (latest - speed)
}

/// Chooses the endpoint of least cost; `None` where no candidate may be used at all.
#[must_use]
pub fn choose(candidates: &[Candidate], call: &Call, weights: &Weights) -> Option<Choice> {
    let scarcity = scarcity(candidates, call);
    let weigh = |(index, of)| weigh(index, of, call, weights, scarcity);
    let mut cheapest: Option<Choice> = None;
    let mut second = f64::INFINITY;
    for choice in candidates.iter().enumerate().filter_map(weigh) {
        let lowest = cheapest.map_or(f64::INFINITY, |held| held.cost);
        if choice.cost < lowest {
            second = lowest;
            cheapest = Some(choice);
        } else {
            second = second.min(choice.cost);
        }
    }
    let cheapest = cheapest?;
    if second > cheapest.cost * (1.0 + TIE) {
        return Some(Choice {
            runner_up_cost: second,
            ..cheapest
        });
    }
    let tied = candidates.iter().enumerate().filter_map(weigh);
    let tied = tied.filter(|choice| ties(choice, &cheapest));
    let away = |choice: &Choice| candidates[choice.index].network_cost;
    let best = tied.min_by(|a, b| {
        let nearer = away(a).total_cmp(&away(b));
        nearer.then_with(|| mix(call.salt, b.index).cmp(&mix(call.salt, a.index)))
    })?;
    let runner_up_cost = if best.index == cheapest.index {
        second
    } else {
        cheapest.cost
    };
    Some(Choice {
        runner_up_cost,
        ..best
    })
}

/// Tells whether a choice is as good as the cheapest. One that loses more cache isn't, so that a
/// program doesn't leave its prefix by the draw.
fn ties(choice: &Choice, cheapest: &Choice) -> bool {
    choice.cost <= cheapest.cost * (1.0 + TIE)
        && choice.miss <= cheapest.miss
        && choice.start == cheapest.start
}

/// Yields how much of the room for routine calls is taken, from 0 to 1; 0 for an urgent call.
///
/// While slots are scarce, a faster one that a call takes is one that another doesn't get: the
/// time that it saves is no gain, and the prefill that it pays for the move is a loss to all.
fn scarcity(candidates: &[Candidate], call: &Call) -> f64 {
    if call.class == Class::Urgent {
        return 0.0;
    }
    let mut taken = 0.0;
    let mut all = 0.0;
    for of in candidates {
        let room = room(of.slots, of.share, call.class, of.lane);
        taken += f64::from(occupied(of)).min(room);
        all += room;
    }
    if all > 0.0 { taken / all } else { 0.0 }
}

/// Yields what each endpoint of a pool is kept for, given their speeds; the fastest are the lanes.
///
/// Pass 0 for an endpoint that hasn't its whole share: one that fails everything is idle, reports
/// the highest speed, and would be the lane of all urgent calls.
///
/// VMs that see the same reports agree on the lanes nearly always; where they don't, one more
/// endpoint is partly kept free for a while.
#[must_use]
pub fn lanes(speeds: &[f64]) -> Vec<Lane> {
    if speeds.len() < LANE_FLEET {
        return vec![Lane::Shared; speeds.len()];
    }
    let count = (speeds.len() / LANE_OF).max(1);
    let mut order: Vec<usize> = (0..speeds.len()).collect();
    order.sort_by(|a, b| speeds[*b].total_cmp(&speeds[*a]));
    let mut lanes = vec![Lane::Open; speeds.len()];
    for index in &order[..count] {
        lanes[*index] = Lane::Urgent;
    }
    lanes
}

/// Yields how many calls of a class the endpoint may have at once; routine calls keep one slot
/// where an endpoint has no more to use.
#[must_use]
pub fn room(slots: u32, share: f64, class: Class, lane: Lane) -> f64 {
    // Nearly all endpoints have their whole share; rounding is the dearest part of a placement.
    let usable = if share < 1.0 {
        (f64::from(slots) * share).ceil()
    } else {
        f64::from(slots)
    };
    match (class, lane) {
        (Class::Urgent, _) | (Class::Routine, Lane::Open) => usable,
        (Class::Routine, Lane::Shared) => (usable - 1.0).max(usable.min(1.0)),
        (Class::Routine, Lane::Urgent) => (usable * LANE_ROUTINE).ceil(),
    }
}

/// Yields how many calls the endpoint is thought to have now.
#[must_use]
pub fn occupied(candidate: &Candidate) -> u32 {
    let known = candidate.reported.saturating_sub(candidate.ended);
    known.saturating_add(candidate.sent)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn weigh(
    index: usize,
    of: &Candidate,
    call: &Call,
    weights: &Weights,
    scarcity: f64,
) -> Option<Choice> {
    let room = room(of.slots, of.share, call.class, of.lane);
    if room < 1.0 || of.speed <= 0.0 || of.prefill <= 0.0 {
        return None;
    }
    let run = call.output as f64 / of.speed * 1000.0;
    let miss = call.prompt.saturating_sub(of.cached) as f64 / of.prefill * 1000.0;
    let over = f64::from(occupied(of)) + f64::from(of.claimed) + 1.0 - room;
    let wait = over.max(0.0) * run / room;
    let ahead = if may_go_ahead(of, call) {
        room * AHEAD
    } else {
        0.0
    };
    let start = if over <= ahead {
        Start::Now
    } else {
        Start::Later
    };
    let toll = miss * f64::from(occupied(of).min(of.slots)) * TOLL;
    let time = wait + miss + run * (1.0 - scarcity) + toll + of.network_cost;
    let cost = weights.latency * time + weights.cache * miss;
    Some(Choice {
        index,
        start,
        wait,
        miss,
        run,
        cost,
        runner_up_cost: f64::INFINITY,
    })
}

/// Tells whether a call may be sent before a slot is free: where its prefix is, and urgent ones
/// anywhere, as others' calls sent ahead would else take every slot that frees.
fn may_go_ahead(of: &Candidate, call: &Call) -> bool {
    call.class == Class::Urgent || of.cached * 2 > call.prompt
}

/// Mixes a salt with an index (the finalizer of `SplitMix64`).
fn mix(salt: u64, index: usize) -> u64 {
    let mut z = salt ^ (index as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests;

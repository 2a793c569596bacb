//! Chooses the endpoint for a call (placement).
//!
//! Placement deals with three problems: a few programs make most of the calls, some endpoints are
//! slow, and load reports lag. Without placement, a program leaves the endpoint that has its prefix
//! cached and prefills its whole history again, or waits there behind a full batch; all VMs send to
//! the endpoint that the last report showed idle; and a slow endpoint gets as many calls as a fast
//! one.
//!
//! The cost of an endpoint is in milliseconds: the expected wait and generation time, plus the
//! prefill of what its cache lacks. The prefill counts twice, once as latency and once as wasted
//! work, each with a weight of the deployment. So in a deployment with a high weight for wasted
//! cache, calls wait longer for the endpoint that has the prefix.
//!
//! Load reports lag by up to two seconds, so placement adds the calls that the VM itself has sent
//! and ended since the report. Calls of other VMs can't be known: to keep VMs that see the same
//! report from all picking the same endpoint, each call chooses by its salt among the endpoints
//! whose costs lie within [`TIE_TOLERANCE`] of the best. Among those, endpoints in the VM's own
//! data centre go first, because traffic between data centres is billed, and hangs when one of them
//! is cut off.

use crate::class::Class;

/// Costs within this share of the lowest one count as equal.
///
/// A report that is one second old is off by about the calls that start and end in a second; with
/// calls of some seconds, that is nearly a tenth of a full batch.
pub const TIE_TOLERANCE: f64 = 0.1;
/// One endpoint in this many is a lane for urgent calls.
///
/// An urgent call in a full batch takes about twice as long as alone, because each call slows the
/// others and their prefills interrupt it; a free slot there doesn't help. Reserving the same
/// capacity in one place, an endpoint that routine calls leave nearly empty, lets it run as if
/// there were no load.
pub const ENDPOINTS_PER_LANE: usize = 16;
/// Smallest number of endpoints that has a lane. A smaller fleet would give up more than an eighth
/// of itself; it keeps one slot free at each endpoint instead.
pub const MIN_LANE_FLEET: usize = 8;
/// Share of a lane's slots that routine calls may use, so that the lane isn't idle without urgent
/// calls: one slot of sixteen, which hardly slows an urgent call.
pub const LANE_ROUTINE_SHARE: f64 = 0.0625;
/// Number of calls, as a share of an endpoint's slots, that may be sent to it ahead, before a slot
/// is free. Routine calls are sent ahead only if the endpoint has most of their prompt cached.
///
/// A VM learns late that another VM's call has ended. Without calls waiting at the endpoint, slots
/// stay empty in the meantime, and programs leave their cached prefix for slots elsewhere. Sending
/// more calls ahead only makes them wait. The endpoint serves urgent calls first among those that
/// wait at it.
pub const SEND_AHEAD_SHARE: f64 = 0.5;

/// Share by which each call in a batch generates more slowly while a prompt is prefilled beside it.
///
/// An engine splits each of its steps between generating for the batch and prefilling.
pub const PREFILL_SLOWDOWN: f64 = 0.3;

/// An endpoint that may run the call, as this VM sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// Calls that ran or waited at it when it made its report.
    pub reported: u32,
    /// Calls that this VM has sent to it since the report.
    pub sent: u32,
    /// Calls of this VM that were in the report and have ended since.
    pub ended: u32,
    /// All calls of this VM that haven't ended. Those that were on their way when the endpoint made
    /// its report are neither in the report nor sent since.
    pub in_flight: u32,
    /// Calls of this VM that are ahead of this one in the queue and wait for this endpoint. If they
    /// weren't counted, each waiting call would expect to be the next one there, and slower
    /// endpoints would stay idle.
    pub claimed: u32,
    /// Tokens per second that it generates for one call, as measured over about ten seconds.
    pub speed: f64,
    /// Prompt tokens per second that it prefills, as measured.
    pub prefill: f64,
    /// Prompt tokens of this call that its cache is expected to hold.
    pub cached: u64,
    /// Share of its slots that may be used, from [`crate::slow_start`] and [`crate::eject`]: 1 for
    /// an endpoint in normal operation, 0 for one that gets no calls.
    pub share: f64,
    /// Which calls it is reserved for; see [`lanes`].
    pub lane: Lane,
    /// Cost of the network path to it, in milliseconds: 0 in the VM's own data centre.
    pub network_cost: f64,
}

/// Which calls an endpoint is reserved for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lane {
    /// All calls alike, in a fleet that has a lane for urgent calls elsewhere.
    #[default]
    Open,
    /// All calls, with one slot kept free for urgent ones, in a fleet too small for a lane.
    Shared,
    /// Urgent calls, and a few routine ones ([`LANE_ROUTINE_SHARE`]).
    Urgent,
}

/// The properties of a call that its placement depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Whether the call is urgent or routine.
    pub class: Class,
    /// Number of tokens in the whole prompt.
    pub prompt: u64,
    /// Number of tokens that it is expected to generate.
    pub output: u64,
    /// Decides between equally good endpoints; differs from call to call.
    pub salt: u64,
}

/// The deployment's cost weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Weight of a millisecond of waiting for the caller.
    pub latency: f64,
    /// Weight of a millisecond of prefill that a cache hit would have saved.
    pub cache: f64,
}

impl Default for Weights {
    /// Returns the weights of a deployment for which both cost the same.
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
    /// A slot is expected to be free, or the call may be sent ahead.
    Now,
    /// Waiting for this endpoint is expected to be better than going elsewhere now.
    Later,
}

/// The chosen endpoint and the values behind the choice, for the decision's log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The chosen endpoint's index among the candidates.
    pub index: usize,
    /// Whether the call can start there.
    pub start: Start,
    /// Expected wait for a slot, in milliseconds.
    pub wait: f64,
    /// Expected prefill time of the prompt tokens that the cache lacks, in milliseconds.
    pub miss: f64,
    /// Expected generation time, in milliseconds.
    pub run: f64,
    /// Weighted sum of the expected times in milliseconds, by which candidates are compared.
    pub cost: f64,
    /// Lowest cost among the other candidates; infinite without any.
    pub runner_up_cost: f64,
}

/// Weight of the latest report in an endpoint's speed: with two reports a second, the speed is an
/// average over about ten seconds.
pub const LATEST_WEIGHT: f64 = 0.1;

/// Returns the speed to use for placement, from the previous one and that of the latest report.
///
/// The current speed falls by a third while a prompt is prefilled beside the batch. Calls placed by
/// the current speed move away from their cached prefix and cause the same drop elsewhere.
#[must_use]
pub fn smoothed(speed: f64, latest: f64) -> f64 {
    speed + LATEST_WEIGHT * (latest - speed)
}

/// Chooses the endpoint of the lowest cost; returns `None` if no candidate may be used at all.
#[must_use]
pub fn choose(candidates: &[Candidate], call: &Call, weights: &Weights) -> Option<Choice> {
    let utilization = utilization(candidates, call);
    let evaluate = |(index, candidate)| evaluate(index, candidate, call, weights, utilization);
    let mut cheapest: Option<Choice> = None;
    let mut second = f64::INFINITY;
    for choice in candidates.iter().enumerate().filter_map(evaluate) {
        let lowest = cheapest.map_or(f64::INFINITY, |held| held.cost);
        if choice.cost < lowest {
            second = lowest;
            cheapest = Some(choice);
        } else {
            second = second.min(choice.cost);
        }
    }
    let cheapest = cheapest?;
    if second > cheapest.cost * (1.0 + TIE_TOLERANCE) {
        return Some(Choice {
            runner_up_cost: second,
            ..cheapest
        });
    }
    let tied = candidates.iter().enumerate().filter_map(evaluate);
    let tied = tied.filter(|choice| is_tied(choice, &cheapest));
    let network_cost = |choice: &Choice| candidates[choice.index].network_cost;
    let best = tied.min_by(|a, b| {
        let nearer = network_cost(a).total_cmp(&network_cost(b));
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

/// Returns the costs of those of some candidates that may be used, in their order.
pub(crate) fn choices_at<'a>(
    indices: impl Iterator<Item = usize> + 'a,
    candidates: &'a [Candidate],
    call: &'a Call,
    weights: &'a Weights,
) -> impl Iterator<Item = Choice> + 'a {
    let utilization = utilization(candidates, call);
    indices.filter_map(move |index| evaluate(index, &candidates[index], call, weights, utilization))
}

/// Returns whether a choice counts as equal to the cheapest. One with a longer prefill doesn't, so
/// that the random choice doesn't move a program away from its prefix.
fn is_tied(choice: &Choice, cheapest: &Choice) -> bool {
    choice.cost <= cheapest.cost * (1.0 + TIE_TOLERANCE)
        && choice.miss <= cheapest.miss
        && choice.start == cheapest.start
}

/// Returns the occupied share of the capacity for routine calls, from 0 to 1; 0 for an urgent call.
///
/// While slots are scarce, a faster slot that one call takes is one that another call doesn't get:
/// the time that it saves is no gain overall, and the prefill that the move costs is a loss for
/// all.
fn utilization(candidates: &[Candidate], call: &Call) -> f64 {
    if call.class == Class::Urgent {
        return 0.0;
    }
    let mut used = 0.0;
    let mut total = 0.0;
    for candidate in candidates {
        let capacity = capacity(candidate.slots, candidate.share, call.class, candidate.lane);
        used += f64::from(occupied(candidate)).min(capacity);
        total += capacity;
    }
    if total > 0.0 { used / total } else { 0.0 }
}

/// Returns which calls each endpoint of a pool is reserved for, given the endpoints' speeds; the
/// fastest are the lanes.
///
/// Pass 0 for an endpoint that doesn't have its full share: an endpoint that fails every call is
/// idle, reports the highest speed, and would become the lane for all urgent calls.
///
/// VMs that see the same reports nearly always agree on the lanes. If they don't, one more endpoint
/// is partly reserved for a while.
#[must_use]
pub fn lanes(speeds: &[f64]) -> Vec<Lane> {
    if speeds.len() < MIN_LANE_FLEET {
        return vec![Lane::Shared; speeds.len()];
    }
    let count = (speeds.len() / ENDPOINTS_PER_LANE).max(1);
    let mut order: Vec<usize> = (0..speeds.len()).collect();
    order.sort_by(|a, b| speeds[*b].total_cmp(&speeds[*a]));
    let mut lanes = vec![Lane::Open; speeds.len()];
    for index in &order[..count] {
        lanes[*index] = Lane::Urgent;
    }
    lanes
}

/// Returns how many calls of a class the endpoint may have at once. If an endpoint has only one
/// usable slot, routine calls may use it too.
#[must_use]
pub fn capacity(slots: u32, share: f64, class: Class, lane: Lane) -> f64 {
    // Skips the rounding for the full share, which nearly all endpoints have: rounding is the most
    // expensive part of a placement.
    let usable = if share < 1.0 {
        (f64::from(slots) * share).ceil()
    } else {
        f64::from(slots)
    };
    match (class, lane) {
        (Class::Urgent, _) | (Class::Routine, Lane::Open) => usable,
        (Class::Routine, Lane::Shared) => (usable - 1.0).max(usable.min(1.0)),
        (Class::Routine, Lane::Urgent) => (usable * LANE_ROUTINE_SHARE).ceil(),
    }
}

/// Returns how many calls the endpoint is expected to have now.
#[must_use]
pub fn occupied(candidate: &Candidate) -> u32 {
    let known = candidate.reported.saturating_sub(candidate.ended);
    known
        .saturating_add(candidate.sent)
        .max(candidate.in_flight)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn evaluate(
    index: usize,
    candidate: &Candidate,
    call: &Call,
    weights: &Weights,
    utilization: f64,
) -> Option<Choice> {
    let capacity = capacity(candidate.slots, candidate.share, call.class, candidate.lane);
    if capacity < 1.0 || candidate.speed <= 0.0 || candidate.prefill <= 0.0 {
        return None;
    }
    let run = call.output as f64 / candidate.speed * 1000.0;
    let miss = call.prompt.saturating_sub(candidate.cached) as f64 / candidate.prefill * 1000.0;
    let excess = f64::from(occupied(candidate)) + f64::from(candidate.claimed) + 1.0 - capacity;
    let wait = excess.max(0.0) * run / capacity;
    let send_ahead = if may_send_ahead(candidate, call) {
        capacity * SEND_AHEAD_SHARE
    } else {
        0.0
    };
    let start = if excess <= send_ahead {
        Start::Now
    } else {
        Start::Later
    };
    let slowdown = miss * f64::from(occupied(candidate).min(candidate.slots)) * PREFILL_SLOWDOWN;
    let time = wait + miss + run * (1.0 - utilization) + slowdown + candidate.network_cost;
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

/// Returns whether a call may be sent before a slot is free. Routine calls may only where their
/// prefix is cached, because otherwise calls sent ahead by others would take every slot that
/// becomes free; urgent calls may anywhere.
fn may_send_ahead(candidate: &Candidate, call: &Call) -> bool {
    call.class == Class::Urgent || candidate.cached > call.prompt / 2
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

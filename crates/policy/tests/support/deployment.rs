//! Deployments of two kinds, with the parameters of the engine model.

use policy::place::Weights;

/// One endpoint's properties.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Calls at once.
    pub slots: u32,
    /// Tokens a second for a lone call.
    pub speed: f64,
    /// Prompt tokens a second, all prefills together.
    pub prefill: f64,
    /// Tokens that its prefix cache holds.
    pub cache: u64,
    /// How old its load reports are when they come, in milliseconds.
    pub lag: u64,
}

/// A fleet and what it minds.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name in the table.
    pub name: &'static str,
    /// Its runners.
    pub endpoints: Vec<Endpoint>,
    /// Its weights.
    pub weights: Weights,
    /// VMs that dispatch without coordination.
    pub vms: usize,
    /// Turns of a mean program.
    pub turns: f64,
    /// Prompt tokens of a mean first turn.
    pub first: f64,
    /// Prompt tokens that a mean later turn adds.
    pub add: f64,
    /// Tokens that a mean turn generates.
    pub output: f64,
    /// Milliseconds of a mean tool pause.
    pub pause: f64,
}

/// Yields 15 runners of three speeds; latency weighs more than wasted cache.
pub fn unlike_runners() -> Deployment {
    let endpoint = |n: u32| Endpoint {
        slots: 16,
        speed: [30.0, 60.0, 90.0][n as usize % 3],
        prefill: [6_000.0, 12_000.0, 18_000.0][n as usize % 3],
        cache: 200_000,
        lag: lag(n),
    };
    Deployment {
        name: "unlike runners",
        endpoints: (0..15).map(endpoint).collect(),
        weights: Weights {
            latency: 1.0,
            cache: 0.5,
        },
        vms: 6,
        turns: 6.0,
        first: 1_500.0,
        add: 300.0,
        output: 150.0,
        pause: 2_000.0,
    }
}

/// Yields 12 runners and programs of many turns; wasted cache weighs more than latency.
pub fn long_programs() -> Deployment {
    let endpoint = |n: u32| Endpoint {
        slots: 16,
        speed: [45.0, 60.0][n as usize % 2],
        prefill: [9_000.0, 12_000.0][n as usize % 2],
        cache: 300_000,
        lag: lag(n),
    };
    Deployment {
        name: "long programs",
        endpoints: (0..12).map(endpoint).collect(),
        weights: Weights {
            latency: 1.0,
            cache: 3.0,
        },
        vms: 6,
        turns: 12.0,
        first: 1_500.0,
        add: 400.0,
        output: 150.0,
        pause: 4_000.0,
    }
}

/// Yields a fleet for tests: nine runners of three speeds, and three VMs.
pub fn small() -> Deployment {
    let mut of = unlike_runners();
    of.name = "small";
    of.endpoints.truncate(9);
    of.vms = 3;
    of
}

/// Spreads the lags over the brief's 0.2 to 2 s.
fn lag(n: u32) -> u64 {
    200 + u64::from(n) * 777 % 1_800
}

//! Deployments of two kinds, with the parameters of the engine model.

use policy::place::Weights;

/// The properties of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Calls that run at once.
    pub slots: u32,
    /// Tokens per second of a call that runs alone.
    pub speed: f64,
    /// Prompt tokens per second, for all prefills together.
    pub prefill: f64,
    /// Tokens that fit into its prefix cache.
    pub cache: u64,
    /// Age of its load reports on arrival, in milliseconds.
    pub lag: u64,
}

/// A fleet, its cost weights and its workload.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name in the table.
    pub name: &'static str,
    /// Its runners.
    pub endpoints: Vec<Endpoint>,
    /// Its cost weights.
    pub weights: Weights,
    /// Number of VMs; they dispatch without coordination.
    pub vms: usize,
    /// Mean number of turns of a program.
    pub turns: f64,
    /// Mean prompt tokens of a first turn.
    pub first_prompt: f64,
    /// Mean prompt tokens that a later turn adds.
    pub added_prompt: f64,
    /// Mean tokens that a turn generates.
    pub output: f64,
    /// Mean pause for a tool call, in milliseconds.
    pub pause: f64,
}

/// Returns 15 runners of three speeds; latency weighs more than wasted cache.
pub fn mixed_runners() -> Deployment {
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
        first_prompt: 1_500.0,
        added_prompt: 300.0,
        output: 150.0,
        pause: 2_000.0,
    }
}

/// Returns 12 runners and programs of many turns; wasted cache weighs more than latency.
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
        first_prompt: 1_500.0,
        added_prompt: 400.0,
        output: 150.0,
        pause: 4_000.0,
    }
}

/// Returns a fleet for tests: nine runners of three speeds, and three VMs.
pub fn small() -> Deployment {
    let mut deployment = mixed_runners();
    deployment.name = "small";
    deployment.endpoints.truncate(9);
    deployment.vms = 3;
    deployment
}

/// Spreads the lags between 0.2 and 2 s.
fn lag(n: u32) -> u64 {
    200 + u64::from(n) * 777 % 1_800
}

//! The callers of a few workspaces: some send several times what their limit allows, others stay below it.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::usage::Shown;
use wire::clock::Millis;
use wire::code::Code;

use super::fleet_model::world;
use super::fleet_model::world::World;
use super::oracle::Account;
use super::oracle::Limit;

/// Interval at which callers act, in milliseconds.
const STEP_MS: u64 = 10;
/// How long a caller waits for an answer altogether, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Callers whose VM doesn't answer send the request again after this time, in milliseconds.
const RESEND_MS: u64 = 100;
/// How often a request is sent again.
const RETRIES: u32 = 3;

/// The callers of a workspace.
struct Load {
    name: &'static str,
    per_second: u32,
    burst: u32,
    /// The requests sent in a window, as a percentage of the limit.
    percent: u64,
    /// When all of them are sent: at the beginning of each window, or evenly.
    evenly: bool,
}

const LOADS: [Load; 6] = [
    Load {
        name: "hot",
        per_second: 40,
        burst: 40,
        percent: 400,
        evenly: true,
    },
    Load {
        name: "bursts",
        per_second: 40,
        burst: 40,
        percent: 200,
        evenly: false,
    },
    Load {
        name: "hot and large burst",
        per_second: 20,
        burst: 150,
        percent: 300,
        evenly: true,
    },
    Load {
        name: "hot and small",
        per_second: 1,
        burst: 1,
        percent: 3_000,
        evenly: true,
    },
    Load {
        name: "calm",
        per_second: 40,
        burst: 40,
        percent: 50,
        evenly: true,
    },
    Load {
        name: "calm and small",
        per_second: 4,
        burst: 4,
        percent: 50,
        evenly: true,
    },
];

/// The workspaces of all callers. Each holds one key, its name.
pub fn workspaces() -> Vec<world::Workspace> {
    let workspaces = LOADS.iter().map(|load| world::Workspace {
        name: load.name,
        keys: vec![load.name],
        per_second: load.per_second,
        burst: load.burst,
    });
    workspaces.collect()
}

impl Load {
    const fn limit(&self) -> Limit {
        Limit {
            per_second: self.per_second,
            burst: self.burst,
            window: Millis::new(5_000),
        }
    }

    /// Returns how many requests are sent in a step on average.
    fn in_step(&self, now: u64) -> f64 {
        let limit = self.limit();
        let window = limit.window.as_u64();
        let sent = limit.allowance() * self.percent / 100;
        let sent = f64::from(u32::try_from(sent).expect("some hundred"));
        let steps = |span: u64| f64::from(u32::try_from(span / STEP_MS).expect("some hundred"));
        if self.evenly {
            return sent / steps(window);
        }
        let busy = window / 5;
        if now % window < busy {
            sent / steps(busy)
        } else {
            0.0
        }
    }
}

/// A request that is sent again.
struct Pending {
    load: usize,
    due: u64,
    given_up: u64,
    retries: u32,
    /// Whether it was refused for the limit.
    refused: bool,
}

/// All callers.
pub struct Callers {
    draws: ChaCha8Rng,
    vms: usize,
    pending: Vec<Pending>,
    accounts: Vec<Account>,
}

impl Callers {
    /// Creates callers that have sent nothing.
    pub fn new(seed: u64, vms: usize) -> Self {
        Self {
            draws: ChaCha8Rng::seed_from_u64(seed),
            vms,
            pending: Vec::new(),
            accounts: LOADS
                .iter()
                .map(|load| Account::new(load.limit()))
                .collect(),
        }
    }

    /// Lets callers send requests for a span.
    pub fn run(&mut self, world: &mut World, span_ms: u64) {
        for _ in 0..span_ms / STEP_MS {
            world.run(STEP_MS);
            let now = world.now();
            let is_due = |pending: &mut Pending| pending.due <= now;
            let due: Vec<Pending> = self.pending.extract_if(.., is_due).collect();
            for pending in due {
                self.send(world, pending);
            }
            for (load, from) in LOADS.iter().enumerate() {
                for _ in 0..self.draw_count(from.in_step(now)) {
                    let request = Pending {
                        load,
                        due: now,
                        given_up: now + DEADLINE_MS,
                        retries: 0,
                        refused: false,
                    };
                    self.send(world, request);
                }
            }
        }
    }

    /// Draws a number of requests with a mean: the whole part, and one more by chance.
    fn draw_count(&mut self, mean: f64) -> u32 {
        let mut count = 0;
        let mut left = mean;
        while left > 0.0 && self.draws.random::<f64>() < left {
            count += 1;
            left -= 1.0;
        }
        count
    }

    /// Draws the VM that a caller reaches: some get many times as much as others.
    fn draw_vm(&mut self) -> usize {
        let below = self.draws.random_range(1..=self.vms);
        self.draws.random_range(0..below)
    }

    fn send(&mut self, world: &World, mut request: Pending) {
        let now = world.now();
        let load = request.load;
        let vm = self.draw_vm();
        let Some(process) = &world.vms[vm].process else {
            self.send_again(request, now + RESEND_MS);
            return;
        };
        match process.admit(LOADS[load].name, "", Shown::HasBegun) {
            Ok(()) => self.accounts[load].note_ran(now),
            Err(refusal) => {
                if matches!(refusal.code, Code::OverLimit | Code::OverShare) {
                    self.accounts[load].note_refused(now);
                    request.refused = true;
                }
                let wait = refusal.retry_after.map_or(RESEND_MS, Millis::as_u64);
                self.send_again(request, now + wait);
            }
        }
    }

    fn send_again(&mut self, mut request: Pending, due: u64) {
        if request.retries == RETRIES || due > request.given_up {
            if request.refused {
                self.accounts[request.load].note_lost();
            }
            return;
        }
        request.due = due;
        request.retries += 1;
        self.pending.push(request);
    }

    /// Returns what became of the requests, a line a workspace.
    pub fn report(&self) -> String {
        let accounts = LOADS.iter().zip(&self.accounts);
        let lines = accounts.map(|(load, account)| format!("{:20} {account}\n", load.name));
        lines.collect()
    }

    /// Returns the workspaces that got more than their limits allow.
    pub fn over_bound(&self) -> Vec<&'static str> {
        let accounts = LOADS.iter().zip(&self.accounts);
        let over = accounts.filter(|(_, account)| !account.is_within_bound());
        over.map(|(load, _)| load.name).collect()
    }

    /// Returns the part of its limit that a workspace used that sends several times as much, in a hundred.
    pub fn used_percent(&self, from: u64, until: u64) -> u64 {
        self.accounts[0].used_percent(from, until)
    }

    /// Returns the requests in a thousand that were lost of the workspace below its limit that lost most.
    pub fn most_lost_below_limit(&self) -> u64 {
        let accounts = LOADS.iter().zip(&self.accounts);
        let below = accounts.filter(|(load, _)| load.percent < 100);
        below
            .map(|(_, account)| account.lost_per_mille())
            .max()
            .unwrap_or(0)
    }
}

//! What happens to the VMs of a play, and when: drawn from a seed before the play begins.

use std::fmt;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use crate::fleet::Fleet;
use crate::fleet::name;
use crate::network::Cut;
use crate::oracle::Mode;

/// How long VMs are left alone between the return of a lost disk and the loss of another one, if no more
/// may be lost at once than are tolerated.
pub const QUIET: Duration = Duration::from_secs(6);
/// When the first order is given.
const FIRST_AT: Duration = Duration::from_millis(500);
/// How long a VM whose disk is lost is silent.
const LOSS: Duration = Duration::from_secs(1);
/// Within which time of a round its orders are given.
const ROUND_MS: u64 = 3_000;
/// The most orders of a round beside the lost disk.
const MAX_BESIDE: usize = 4;
/// How long orders are given if any disks may be lost, in milliseconds.
const ANY_MS: u64 = 12_000;

/// What happens to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    LoseDisk,
    /// All VMs lose their disks.
    LoseAll,
    Restart,
    Cut(Cut),
    Stand,
    Retire,
    /// It is gone for good.
    Remove,
    /// A new VM is started.
    Add,
}

/// An order: what happens to which VM, when and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub at: Duration,
    pub vm: usize,
    pub deed: Deed,
    pub time: Duration,
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, time) = (self.at.as_millis(), self.time.as_millis());
        write!(f, "{at:>6} ms  vm{} {:?} {time} ms", self.vm, self.deed)
    }
}

/// Orders that are being drawn.
struct Draft {
    random: ChaCha8Rng,
    orders: Vec<Order>,
    /// Until when each VM is disturbed; VMs by number.
    busy: Vec<Duration>,
    /// The VMs that are gone for good.
    gone: Vec<usize>,
    /// The VMs that are to leave.
    leaving: Vec<usize>,
}

impl Draft {
    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    /// Chooses a VM that isn't disturbed at this time.
    fn idle_vm(&mut self, at: Duration) -> Option<usize> {
        let is_idle = |vm: &usize| self.busy[*vm] <= at && !self.gone.contains(vm);
        let idle: Vec<usize> = (0..self.busy.len()).filter(is_idle).collect();
        let choice = self.random.random_range(0..idle.len().max(1));
        idle.get(choice).copied()
    }

    fn push(&mut self, at: Duration, vm: usize, deed: Deed, time: Duration) {
        self.busy[vm] = at + time + Duration::from_millis(100);
        self.orders.push(Order { at, vm, deed, time });
    }

    fn add_vm(&mut self, at: Duration) {
        self.busy.push(at + LOSS);
        let vm = self.busy.len() - 1;
        let time = Duration::ZERO;
        let deed = Deed::Add;
        self.orders.push(Order { at, vm, deed, time });
    }

    /// Takes a VM away for good, and starts another one after a while.
    fn replace(&mut self, at: Duration, vm: usize) {
        self.push(at, vm, Deed::Remove, Duration::ZERO);
        self.gone.push(vm);
        let after = self.millis(0, 2_000);
        self.add_vm(at + after);
    }

    /// Draws what doesn't lose a disk.
    fn disturb(&mut self, at: Duration) {
        let Some(vm) = self.idle_vm(at) else {
            return;
        };
        let cut = self.millis(1_000, 6_000);
        match self.random.random_range(0..10) {
            0..3 => self.push(at, vm, Deed::Cut(Cut::All), cut),
            3 => self.push(at, vm, Deed::Cut(Cut::Vms), cut),
            4..6 => {
                let time = self.millis(100, 1_000);
                self.push(at, vm, Deed::Restart, time);
            }
            6 => {
                let time = self.millis(200, 4_000);
                self.push(at, vm, Deed::Stand, time);
            }
            7..9 if !self.leaving.contains(&vm) => {
                self.push(at, vm, Deed::Retire, Duration::ZERO);
                self.leaving.push(vm);
            }
            _ => self.add_vm(at),
        }
    }

    /// Draws a lost disk and what happens beside it.
    fn round(&mut self) {
        let loss_at = FIRST_AT + self.millis(0, ROUND_MS);
        if let Some(vm) = self.idle_vm(loss_at) {
            if self.random.random_bool(0.25) {
                self.replace(loss_at, vm);
            } else {
                self.push(loss_at, vm, Deed::LoseDisk, LOSS);
            }
        }
        for _ in 0..self.random.random_range(0..=MAX_BESIDE) {
            let at = FIRST_AT + self.millis(0, ROUND_MS);
            self.disturb(at);
        }
    }

    /// Ends a round, after which no VM is disturbed.
    fn end_round(&mut self) -> Vec<Order> {
        self.busy.fill(Duration::ZERO);
        let mut orders = mem::take(&mut self.orders);
        orders.sort_by_key(|order| order.at);
        orders
    }

    fn any(&mut self) {
        let mut at = FIRST_AT;
        while at < Duration::from_millis(ANY_MS) {
            match self.random.random_range(0..12) {
                0..4 => {
                    if let Some(vm) = self.idle_vm(at) {
                        self.push(at, vm, Deed::LoseDisk, LOSS);
                    }
                }
                4 if self.random.random_bool(0.3) => {
                    self.push(at, 0, Deed::LoseAll, LOSS);
                    self.busy.fill(at + LOSS);
                }
                5 => {
                    if let Some(vm) = self.idle_vm(at) {
                        self.replace(at, vm);
                    }
                }
                6 if self.gone.len() + 1 < self.busy.len() => {
                    if let Some(vm) = self.idle_vm(at) {
                        self.push(at, vm, Deed::Remove, Duration::ZERO);
                        self.gone.push(vm);
                    }
                }
                _ => self.disturb(at),
            }
            at += self.millis(100, 1_800);
        }
    }
}

/// Draws the orders for a deployment of `vms` VMs, by round. `losses` says how often a disk is lost, if no
/// more may be lost at once than are tolerated.
pub fn draw(mode: Mode, vms: usize, losses: usize, seed: u64) -> Vec<Vec<Order>> {
    let mut draft = Draft {
        random: ChaCha8Rng::seed_from_u64(seed),
        orders: Vec::new(),
        busy: vec![Duration::ZERO; vms],
        gone: Vec::new(),
        leaving: Vec::new(),
    };
    let mut rounds = Vec::new();
    match mode {
        Mode::Tolerated => {
            for _ in 0..losses {
                draft.round();
                rounds.push(draft.end_round());
            }
        }
        Mode::Any => {
            draft.any();
            rounds.push(draft.end_round());
        }
    }
    rounds
}

/// Gives the orders at their times, and returns once all VMs that are left are back.
pub async fn run(fleet: &Arc<Fleet>, rounds: &[Vec<Order>]) {
    for (at, orders) in rounds.iter().enumerate() {
        if at > 0 {
            tokio::time::sleep(QUIET).await;
        }
        let begun = Instant::now();
        let mut running = JoinSet::new();
        for order in orders {
            tokio::time::sleep(order.at.saturating_sub(begun.elapsed())).await;
            let (fleet, order) = (fleet.clone(), order.clone());
            running.spawn(async move { give(&fleet, &order).await });
        }
        while running.join_next().await.is_some() {}
    }
}

async fn give(fleet: &Arc<Fleet>, order: &Order) {
    if order.deed == Deed::Add {
        return fleet.add(order.vm).await;
    }
    if order.deed == Deed::LoseAll {
        let mut all = JoinSet::new();
        for vm in fleet.vms() {
            let (fleet, time) = (fleet.clone(), order.time);
            all.spawn(async move { fleet.lose_disk(&vm, time).await });
        }
        while all.join_next().await.is_some() {}
        return;
    }
    // A VM that was to leave may have left.
    let Some(vm) = fleet.vm(&name(order.vm)) else {
        return;
    };
    match order.deed {
        Deed::LoseDisk => fleet.lose_disk(&vm, order.time).await,
        Deed::Restart => fleet.restart(&vm, order.time).await,
        Deed::Cut(cut) => fleet.cut(&vm, cut, order.time).await,
        Deed::Stand => fleet.stand(&vm, order.time).await,
        Deed::Retire => fleet.retire(&vm),
        // Somebody has to be left.
        Deed::Remove if fleet.vms().len() > 1 => fleet.remove(&vm),
        Deed::Remove | Deed::Add | Deed::LoseAll => {}
    }
}

//! Programs of a play: they store turns, reserve and settle tokens, and read turns back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use replica::client::Replicas;
use replica::quorum::Verdict;
use replica::record::Key;
use replica::record::Record;
use replica::record::Reservation;
use replica::record::Settlement;
use replica::record::Turn;

use crate::fleet::Fleet;
use crate::oracle::Oracle;
use crate::oracle::Stored;

/// How often a program's VM reads the list in the platform.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// The budget of a program in tokens.
const BUDGET: u64 = 400;
/// The most tokens of a turn.
const MAX_TOKENS: u32 = 60;
/// The longest text of a turn in bytes.
const MAX_TEXT: usize = 3_000;
/// How many turns are stored at once to fill disks.
const FILL_BATCH: usize = 100;
/// The longest pause between two requests in milliseconds.
const MAX_PAUSE: u64 = 60;

/// A source of requests.
pub struct Caller {
    pub fleet: Arc<Fleet>,
    pub oracle: Arc<Oracle>,
    client: Arc<Replicas>,
    random: ChaCha8Rng,
    name: String,
    next: u64,
    program: u64,
}

impl Caller {
    pub async fn new(fleet: &Arc<Fleet>, oracle: &Arc<Oracle>, name: &str, seed: u64) -> Self {
        Self {
            fleet: fleet.clone(),
            oracle: oracle.clone(),
            client: Arc::new(fleet.replicas().await),
            random: ChaCha8Rng::seed_from_u64(seed),
            name: name.to_owned(),
            next: 0,
            program: 0,
        }
    }

    /// Sends requests for as long as the future is polled.
    pub async fn run(mut self) {
        let mut listed_at = Instant::now();
        loop {
            match self.random.random_range(0..10) {
                0..5 => {
                    self.store().await;
                }
                5..8 => self.spend().await,
                _ => self.read().await,
            }
            if listed_at.elapsed() >= LIST_INTERVAL {
                listed_at = Instant::now();
                self.refresh().await;
            }
            let pause = self.random.random_range(0..MAX_PAUSE);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Reads the list in the platform.
    pub async fn refresh(&self) {
        if let Some(list) = self.fleet.list().await {
            self.client.adopt(list);
        }
    }

    fn next_key(&mut self) -> Key {
        self.next += 1;
        Key::of(&format!("{}-{}", self.name, self.next))
    }

    /// Stores a turn. Returns why it wasn't acknowledged, if so.
    pub async fn store(&mut self) -> Option<String> {
        let key = self.next_key();
        let length = self.random.random_range(1..MAX_TEXT);
        let text = Bytes::from(vec![b'x'; length]);
        let turn = Turn {
            key,
            previous: None,
            text: text.clone(),
        };
        match self.client.apply(key, vec![Record::Turn(turn)]).await {
            Ok(()) => {
                self.oracle.acknowledge_turn(Stored { key, text });
                None
            }
            Err(fault) => Some(format!("a turn is refused: {fault}")),
        }
    }

    /// Stores many short turns at once, for a deployment whose members all hold every key.
    pub async fn fill(&mut self, turns: usize) {
        let text = Bytes::from_static(b"some text");
        let keys: Vec<Key> = (0..turns).map(|_| self.next_key()).collect();
        for batch in keys.chunks(FILL_BATCH) {
            let record = |key: &Key| {
                Record::Turn(Turn {
                    key: *key,
                    previous: None,
                    text: text.clone(),
                })
            };
            let records = batch.iter().map(record).collect();
            self.client.apply(batch[0], records).await.unwrap();
            for key in batch {
                let (key, text) = (*key, text.clone());
                self.oracle.acknowledge_turn(Stored { key, text });
            }
        }
    }

    /// Reserves tokens of a new program. Returns why they weren't given, if so.
    pub async fn reserve_first(&mut self) -> Option<String> {
        let program = self.next_key();
        let turn = self.next_key();
        let reservation = Reservation {
            program,
            turn,
            most: 1,
        };
        match self.client.reserve(reservation, None, BUDGET).await {
            Ok(Verdict::Fits) => {
                self.oracle.give(program, BUDGET, turn, 1);
                None
            }
            outcome => Some(format!("a reservation is refused: {outcome:?}")),
        }
    }

    /// Reserves tokens, and settles most of what was given.
    async fn spend(&mut self) {
        let program = Key::of(&format!("{}-program-{}", self.name, self.program));
        let turn = self.next_key();
        let most = self.random.random_range(1..MAX_TOKENS);
        let reservation = Reservation {
            program,
            turn,
            most,
        };
        match self.client.reserve(reservation, None, BUDGET).await {
            Ok(Verdict::Fits) => self.oracle.give(program, BUDGET, turn, most),
            Ok(Verdict::Spent(_)) => {
                if self.random.random_bool(0.3) {
                    self.program += 1;
                }
                return;
            }
            Err(_) => return,
        }
        if self.random.random_bool(0.2) {
            return;
        }
        let used = self.random.random_range(0..=most);
        self.oracle.send_settlement(program, turn, used);
        let settlement = Settlement {
            program,
            turn,
            used,
        };
        if self.client.settle(settlement).await.is_ok() {
            self.oracle.acknowledge_settlement(program, turn, used);
        }
    }

    async fn read(&mut self) {
        let choice = self.random.random_range(0..usize::MAX);
        if let Some(turn) = self.oracle.turn(choice) {
            // A turn that can't be read at the moment may be read later.
            let _unread = self.oracle.read_turn(&self.client, &turn).await;
        }
    }

    /// Returns why not all turns and reservations are served, if so.
    pub async fn probe(&mut self, keys: usize) -> Option<String> {
        for _ in 0..keys {
            if let Some(refusal) = self.store().await {
                return Some(refusal);
            }
            if let Some(refusal) = self.reserve_first().await {
                return Some(refusal);
            }
        }
        None
    }

    /// Returns the client of the members.
    pub fn client(&self) -> Arc<Replicas> {
        self.client.clone()
    }
}

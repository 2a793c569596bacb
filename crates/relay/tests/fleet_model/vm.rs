//! A VM: the product's own parts of a process, driven without sockets.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use adapter::runner::State;
use adapter::settings;
use fakes::settings::PEERS;
use relay::follow::step::Follower;
use relay::node::Node;
use relay::subject::Subject;
use wire::clock::Clock;
use wire::clock::Millis;

use super::count::Count;

/// How often runners report themselves.
const HEARTBEAT: Millis = Millis::new(1_200);
/// The subjects that a process follows.
pub const SUBJECTS: [Subject; 3] = [Subject::Config, Subject::Runners, Subject::Own];

/// A VM.
#[derive(Debug)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Its address.
    pub address: SocketAddr,
    /// How often its process was started or ended; what was meant for an earlier one is dropped.
    pub life: u64,
    /// Its process, if one runs.
    pub process: Option<Process>,
    /// What it sent and got.
    pub count: Count,
}

/// A process.
#[derive(Debug)]
pub struct Process {
    /// The product's parts.
    pub node: Arc<Node>,
    /// What it follows, in the order of [`SUBJECTS`].
    pub followers: Vec<Follower>,
    /// Runners with a request of this VM.
    pub under_way: Vec<String>,
    /// Whether it has written its entry.
    pub entered: bool,
    /// Runners that left, and that it still gives requests.
    pub used: BTreeSet<String>,
    /// Runners that left, and that it gives no requests any more.
    pub dropped: BTreeSet<String>,
}

/// Names a VM.
pub fn name(at: usize) -> String {
    format!("vm-{at:03}")
}

/// Finds a VM's number by its name.
pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix("vm-")?.parse().ok()
}

impl Vm {
    /// Makes a VM without a process.
    pub fn new(at: usize, centres: usize) -> Self {
        let [_, _, high, low] = u32::try_from(at).expect("a few hundred VMs").to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(10, 0, high, low));
        Self {
            name: name(at),
            centre: format!("dc-{}", at % centres),
            address: SocketAddr::new(ip, PEERS),
            life: 0,
            process: None,
            count: Count::default(),
        }
    }

    /// Starts its process.
    pub fn start(&mut self, clock: Clock) {
        let told = fakes::settings::Vm {
            name: &self.name,
            centre: &self.centre,
            ip: self.address.ip(),
            advertised: None,
            store: ([10, 9, 0, 1], 2379).into(),
            disk: None,
        };
        let text = fakes::settings::text(&told);
        let mut settings = settings::parse(&text).expect("the settings can be read");
        settings.heartbeat = HEARTBEAT;
        self.life += 1;
        self.process = Some(Process {
            node: Node::new(settings, clock),
            followers: SUBJECTS.map(Follower::new).into(),
            under_way: Vec::new(),
            entered: false,
            used: BTreeSet::new(),
            dropped: BTreeSet::new(),
        });
    }

    /// Ends its process.
    pub fn kill(&mut self) {
        self.life += 1;
        self.process = None;
    }
}

impl Process {
    /// Tells whether it gives a runner new requests.
    pub fn uses(&self, runner: &str) -> bool {
        let mut fleet = self.node.fleet();
        let found = fleet.runner(runner);
        found.is_some_and(|runner| runner.entry.state == State::Ready)
    }

    /// Counts the requests that it knows of at a runner.
    pub fn counted(&self, runner: &str) -> u32 {
        let now = self.node.clock.now();
        let tallies = self.node.fleet().tallies(now, |_| true);
        let found = tallies.into_iter().find(|tally| tally.runner == runner);
        found.map_or(0, |tally| tally.under_way)
    }
}

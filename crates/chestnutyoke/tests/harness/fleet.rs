//! A deployment of processes: one platform, endpoints, and nodes in data centres.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write as Put;
use platform::etcd::Etcd;
use serde_json::Value;
use serde_json::json;
use settings::config::Caller;
use settings::config::Config;
use settings::config::Kind;
use settings::config::Selector;
use settings::label;
use wire::clock::Millis;
use wire::id;

use super::http;
use super::port;
use super::process::Process;
use super::process::Signal;
use super::proxy::Proxy;

/// The bearer token of the one caller.
pub const TOKEN: &str = "token-of-the-caller";
/// The model that the runners serve.
pub const MODEL: &str = "m1";
/// The service's name.
pub const SERVICE: &str = "shore";

const NODE: &str = env!("CARGO_BIN_EXE_chestnutyoke");
const STANDIN: &str = env!("CARGO_BIN_EXE_chestnutyoke-standin");
/// An endpoint to start.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: &'static str,
    /// Its data centre.
    pub centre: &'static str,
    /// The stand-in's options.
    pub options: Vec<&'static str>,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The data centres with their VMs.
    pub centres: Vec<(&'static str, Vec<&'static str>)>,
    /// How many shards each data centre has.
    pub shards: u16,
    /// The runners.
    pub runners: Vec<Endpoint>,
    /// The services.
    pub services: Vec<Endpoint>,
    /// Lines of the table `platform` in the nodes' settings, instead of its defaults.
    pub platform_lines: String,
    /// Lines of the table `limits` in the nodes' settings.
    pub limit_lines: String,
    /// Changes the operators' configuration before it is written.
    pub configure: fn(&mut Config),
}

impl Plan {
    /// Returns a plan with one data centre with three VMs, one shard, one runner and one service.
    pub fn three_vms() -> Self {
        Self {
            centres: vec![("east", vec!["vm-1", "vm-2", "vm-3"])],
            shards: 1,
            ..Self::default()
        }
    }
}

impl Default for Plan {
    /// Returns a plan with one data centre with two VMs, one runner and one service.
    fn default() -> Self {
        Self {
            centres: vec![("east", vec!["vm-1", "vm-2"])],
            shards: 2,
            runners: vec![Endpoint {
                name: "runner-1",
                centre: "east",
                options: vec![],
            }],
            services: vec![Endpoint {
                name: "shore-1",
                centre: "east",
                options: vec![],
            }],
            platform_lines: "lease = \"2s\"\n".to_owned(),
            limit_lines: String::new(),
            configure: |_| {},
        }
    }
}

/// A running stand-in.
pub struct Standin {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Its listener.
    pub address: SocketAddr,
    process: Process,
}

/// A node that is running or has ended.
pub struct Node {
    /// The VM's name.
    pub name: String,
    /// Its data centre.
    pub centre: String,
    /// Its listener for callers.
    pub callers: SocketAddr,
    /// Its listener for other VMs.
    pub peers: SocketAddr,
    /// Its listener for operators.
    pub admin: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// The process.
    pub process: Process,
}

impl Node {
    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Starts the node again, with the same settings, after its process has ended.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = start_node(&self.settings, &self.log);
    }

    /// Waits until the node reports that it is ready.
    pub async fn ready(&self) {
        let what = format!("{} is ready", self.name);
        http::wait_for(&what, async || {
            let status = http::http_status(self.admin, "/ready").await?;
            (status == 200).then_some(())
        })
        .await;
    }
}

/// A running deployment. Its processes are killed when it is dropped; after a failed test the last
/// lines of the nodes' logs are printed.
pub struct Fleet {
    /// The platform.
    pub platform: Standin,
    /// The runners in the plan's order.
    pub runners: Vec<Standin>,
    /// The services in the plan's order.
    pub services: Vec<Standin>,
    /// The nodes in the plan's order.
    pub nodes: Vec<Node>,
    /// The proxies between nodes and platform, which can cut the connections.
    pub proxies: Proxies,
    folder: PathBuf,
}

/// The proxies of a deployment.
pub struct Proxies {
    /// For each data centre, the proxy between its VMs and the platform.
    pub platform: Vec<(String, Proxy)>,
}

impl Proxies {
    /// Returns the proxy between a data centre's VMs and the platform.
    pub fn platform_of(&self, centre: &str) -> &Proxy {
        let found = self.platform.iter().find(|(name, _)| name == centre);
        &found.unwrap().1
    }
}

impl Fleet {
    /// Starts everything and waits until every node is ready and knows an owner of each shard.
    pub async fn start(plan: &Plan) -> Self {
        let folder = folder();
        let platform = standin(&folder, "platform", "platform", "", &[]);
        let start = |kind: &str, endpoint: &Endpoint| {
            standin(
                &folder,
                kind,
                endpoint.name,
                endpoint.centre,
                &endpoint.options,
            )
        };
        let runners: Vec<Standin> = plan.runners.iter().map(|e| start("runner", e)).collect();
        let services: Vec<Standin> = plan.services.iter().map(|e| start("service", e)).collect();
        write_config(plan, &platform, &runners, &services).await;
        publish_vm_list(plan, &platform).await;
        let mut proxies = Proxies { platform: vec![] };
        for (centre, _) in &plan.centres {
            let proxy = Proxy::start(platform.address).await;
            proxies.platform.push(((*centre).to_owned(), proxy));
        }
        let nodes = start_nodes(plan, &proxies, &folder);
        let fleet = Self {
            platform,
            runners,
            services,
            nodes,
            proxies,
            folder,
        };
        let shards = usize::from(plan.shards) * plan.centres.len();
        for node in &fleet.nodes {
            node.ready().await;
            http::wait_until(node.admin, "/status", |status| {
                status["owners"]
                    .as_array()
                    .is_some_and(|o| o.len() == shards)
            })
            .await;
        }
        fleet
    }

    /// Returns the callers' addresses of all nodes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    /// Sets the faults that the platform simulates.
    pub async fn platform_faults(&self, faults: Value) {
        http::post(self.platform.address, "/faults", &faults).await;
    }

    /// Counts how often a call ran, in all services together.
    pub async fn runs(&self, key: &str, operation: &str) -> u64 {
        let mut total = 0;
        for service in &self.services {
            let stats = http::get(service.address, "/stats").await;
            let stats: standin::service::Stats = serde_json::from_value(stats).unwrap();
            let same = |run: &&standin::service::Run| run.key == key && run.operation == operation;
            total += stats
                .runs
                .iter()
                .filter(same)
                .map(|run| run.runs)
                .sum::<u64>();
        }
        total
    }

    /// Waits until the platform's record names an owner of the shard other than `except`, and
    /// returns the owner's index in `nodes`.
    pub async fn owner(&self, centre: &str, index: u16, except: Option<usize>) -> usize {
        let shard = id::Shard {
            centre: id::Centre::parse(centre).unwrap(),
            index,
        };
        let etcd = Etcd::new(vec![self.platform.address], Millis::new(10_000));
        let what = format!("an owner of {shard} other than {except:?}");
        http::wait_for(&what, async || {
            let entry = etcd.read(&journal::key::owner(&shard)).await.ok()??;
            let ownership = journal::claim::Ownership::decode(&entry.value)?;
            let same = |node: &Node| node.name == ownership.vm.as_str();
            let found = self.nodes.iter().position(same)?;
            (Some(found) != except).then_some(found)
        })
        .await
    }

    /// Returns the callers' addresses of all nodes except one.
    pub fn others(&self, except: usize) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter().enumerate();
        let others = nodes.filter(|(index, _)| *index != except);
        others.map(|(_, node)| node.callers).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _left = fs::remove_dir_all(&self.folder);
            return;
        }
        for node in &self.nodes {
            let log = fs::read_to_string(&node.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last = lines.len().saturating_sub(60);
            eprintln!("--- {} ({})", node.name, node.log.display());
            eprintln!("{}", lines[last..].join("\n"));
            eprintln!("{}", node.process.states());
        }
    }
}

fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("chestnutyoke-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn standin(folder: &Path, kind: &str, name: &str, centre: &str, options: &[&str]) -> Standin {
    let mut args = vec![kind.to_owned()];
    args.extend(options.iter().map(|option| (*option).to_owned()));
    let log = folder.join(format!("{name}.log"));
    let (process, address) = Process::start_listening(STANDIN, &args, &log);
    Standin {
        name: name.to_owned(),
        centre: centre.to_owned(),
        address,
        process,
    }
}

impl Standin {
    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Returns whether the process has ended.
    pub fn ended(&mut self) -> bool {
        self.process.ended().is_some()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Sets the faults that the stand-in simulates.
    pub async fn faults(&self, faults: Value) {
        http::post(self.address, "/faults", &faults).await;
    }
}

async fn write_config(plan: &Plan, platform: &Standin, runners: &[Standin], services: &[Standin]) {
    let lines = runners.iter().map(|r| (r, Kind::Runner, MODEL));
    let lines = lines.chain(services.iter().map(|s| (s, Kind::Service, SERVICE)));
    let mut endpoints: Vec<settings::config::Endpoint> = lines
        .map(|(standin, kind, serves)| settings::config::Endpoint {
            name: id::Endpoint::parse(&standin.name).unwrap(),
            kind,
            address: standin.address.to_string(),
            centre: id::Centre::parse(&standin.centre).unwrap(),
            serves: vec![serves.to_owned()],
            fences: kind == Kind::Runner,
            slots: 8,
            repeatable: Vec::new(),
            labels: label::Set::default(),
        })
        .collect();
    endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    let mut config = Config {
        revision: 1,
        nonce: 1,
        callers: vec![Caller {
            name: id::Caller::parse("crew").unwrap(),
            token: id::Digest::of(TOKEN.as_bytes()),
            labels: label::Set::default(),
        }],
        endpoints,
        selectors: vec![allow_all_selector()],
        ..Config::default()
    };
    (plan.configure)(&mut config);
    let txn = Txn {
        compares: vec![],
        writes: vec![Put::Put {
            key: node::controllers::config::KEY.to_owned(),
            value: serde_json::to_vec(&config).unwrap(),
            lease: None,
        }],
    };
    let etcd = Etcd::new(vec![platform.address], Millis::new(10_000));
    etcd.commit(&txn, Priority::Change).await.unwrap();
}

/// Returns a selector that lets all callers use all endpoints; every operation runs at most once.
fn allow_all_selector() -> Selector {
    let text = json!({ "name": "all" });
    serde_json::from_value(text).unwrap()
}

async fn publish_vm_list(plan: &Plan, platform: &Standin) {
    let mut lines = Vec::new();
    for (centre, vms) in &plan.centres {
        lines.extend(vms.iter().map(|vm| (*vm, *centre)));
    }
    let endpoints = plan.runners.iter().chain(&plan.services);
    lines.extend(endpoints.map(|endpoint| (endpoint.name, endpoint.centre)));
    let vms: Vec<Value> = lines
        .into_iter()
        .map(|(name, centre)| json!({ "name": name, "centre": centre, "standing": "live" }))
        .collect();
    http::post(platform.address, "/vms", &json!({ "vms": vms })).await;
}

struct NodePlan {
    name: &'static str,
    centre: &'static str,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
}

fn start_nodes(plan: &Plan, proxies: &Proxies, folder: &Path) -> Vec<Node> {
    let mut node_plans = Vec::new();
    for (centre, vms) in &plan.centres {
        node_plans.extend(vms.iter().map(|vm| NodePlan {
            name: vm,
            centre,
            callers: port::free(),
            peers: port::free(),
            admin: port::free(),
        }));
    }
    let start = |node_plan: &NodePlan| {
        let settings = folder.join(format!("{}.toml", node_plan.name));
        let log = folder.join(format!("{}.log", node_plan.name));
        fs::write(
            &settings,
            settings_text(plan, proxies, &node_plans, node_plan),
        )
        .unwrap();
        Node {
            name: node_plan.name.to_owned(),
            centre: node_plan.centre.to_owned(),
            callers: node_plan.callers,
            peers: node_plan.peers,
            admin: node_plan.admin,
            process: start_node(&settings, &log),
            settings,
            log,
        }
    };
    node_plans.iter().map(start).collect()
}

fn start_node(settings: &Path, log: &Path) -> Process {
    let file = settings.to_str().unwrap().to_owned();
    let args = ["serve".to_owned(), "--settings".to_owned(), file];
    Process::start(NODE, &args, log)
}

fn settings_text(
    plan: &Plan,
    proxies: &Proxies,
    node_plans: &[NodePlan],
    own: &NodePlan,
) -> String {
    let platform = proxies.platform_of(own.centre).address();
    let mut text = format!(
        "[vm]\nname = \"{}\"\ncentre = \"{}\"\n\
         [listen]\ncallers = \"{}\"\npeers = \"{}\"\nadmin = \"{}\"\n\
         [platform]\naddresses = [\"{platform}\"]\n{}\
         [limits]\n{}",
        own.name,
        own.centre,
        own.callers,
        own.peers,
        own.admin,
        plan.platform_lines,
        plan.limit_lines,
    );
    for (centre, _) in &plan.centres {
        write!(
            text,
            "[[centres]]\nname = \"{centre}\"\nshards = {}\n",
            plan.shards
        )
        .unwrap();
    }
    for other in node_plans
        .iter()
        .filter(|node_plan| node_plan.name != own.name)
    {
        write!(
            text,
            "[[peers]]\nname = \"{}\"\ncentre = \"{}\"\naddress = \"{}\"\n",
            other.name, other.centre, other.peers
        )
        .unwrap();
    }
    text
}

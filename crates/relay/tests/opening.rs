//! Which programs may begin while all engines are full.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use link::intake::Intake;
use link::listen;
use relay::account;
use relay::job::Job;
use relay::opening;
use replica::list::List;
use replica::list::Member;
use replica::record::Reservation;
use replica::server;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;

const SCARCE: &str = "contracts = [\"pressure\"]";
/// The most bytes of requests that the VM with a disk reads at once.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// The longest wait that leaves a program time to end.
const MAX_WAIT: Millis = Millis::new(2_000);

struct Folder(PathBuf);

impl Folder {
    fn new(test: &str) -> Self {
        Self(std::env::temp_dir().join(format!("opening-{test}-{}", std::process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // The folder is absent only if the test failed before creating it.
        let _absent = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a VM with a disk and returns the list that holds it alone.
async fn member(folder: &Folder) -> List {
    let member = server::open(&folder.0, 500_000_000, 7, Clock::System).await;
    let member = member.expect("the folder can be written");
    let listener = listen::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.expect("a port");
    let list = List::default().with(&Member {
        vm: "store-a-1".to_owned(),
        centre: "a".to_owned(),
        address: listener.local_addr().expect("an address"),
        disk: 7,
    });
    let shared = member.clone();
    let intake = Intake::new(MAX_BYTES);
    let handler = move |request| server::serve(shared.clone(), intake.clone(), request);
    tokio::spawn(listen::run(listener, Arc::default(), handler));
    member.adopt(&list).await.expect("the list is kept");
    member.set_ready(list.version).await.expect("it is ready");
    list
}

/// Creates the first turn of a program's line at a VM all of whose engines are full; `contracts` is a
/// line of the settings.
fn turn(contracts: &str) -> Job {
    let node = support::node(contracts);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    node.fleet().set("i-1", support::entry(address), 0);
    let mut fleet = node.fleet();
    let runner = fleet.runner("i-1").expect("it was set");
    runner.own_requests = 10 * runner.entry.slots;
    drop(fleet);
    let route = fakes::store::route("r", "stream", "s", 20_000, "");
    let mut job = support::job(&node, &support::engine_table(&route), "q-1");
    job.call.program = Some("p".to_owned());
    job.call.budget = Some(1_000);
    job.call.finish_within = Some(Millis::new(8_000));
    job
}

async fn admit(job: &Job) -> Result<(), Refusal> {
    opening::admit(job, account::of(job)).await
}

#[tokio::test]
async fn a_new_program_is_refused_before_it_has_run() {
    let folder = Folder::new("new");
    let job = turn(SCARCE);
    job.node.replicas.adopt(member(&folder).await);
    let refusal = admit(&job).await.expect_err("all engines are full");
    assert_eq!((refusal.code, refusal.ran), (Code::Overloaded, Ran::No));
    let wait = refusal.retry_after.expect("it may ask again");
    assert!(Millis::ZERO < wait && wait <= MAX_WAIT, "{wait:?}");
}

/// Guards against the loss of a program that other VMs have served so far.
#[tokio::test]
async fn a_program_that_has_begun_elsewhere_goes_on() {
    let folder = Folder::new("begun");
    let job = turn(SCARCE);
    job.node.replicas.adopt(member(&folder).await);
    let account = account::of(&job).expect("the program has a budget");
    let reservation = Reservation {
        program: account.program(),
        turn: job.identity.key_of("q-0"),
        most: 50,
    };
    let reserved = job.node.replicas.reserve(reservation, None, 1_000);
    reserved.await.expect("the member answers");
    admit(&job).await.expect("the program is under way");
}

/// Guards against refusals of programs under way while the members can't be asked.
#[tokio::test]
async fn nobody_is_refused_while_it_is_unknown_who_has_begun() {
    admit(&turn(SCARCE)).await.expect("no member answers");
}

#[tokio::test]
async fn nobody_is_refused_where_endpoints_are_ample() {
    let folder = Folder::new("ample");
    let job = turn("");
    job.node.replicas.adopt(member(&folder).await);
    admit(&job).await.expect("the endpoints are enough");
}

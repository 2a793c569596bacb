//! A shutdown cuts off no request, and ends within its grace.

mod harness;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use harness::Ask;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::Signal;
use harness::TOKEN;
use harness::chat;
use harness::chat_until_answered;
use harness::open;
use harness::peek;
use harness::said;
use harness::until_some;
use standin::runner::answer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const STREAMS: usize = 8;

fn two_vms() -> Plan {
    Plan {
        shards: 1,
        runners: vec![Endpoint {
            name: "runner-1",
            centre: "east",
            options: vec!["--tokens-per-second", "50", "--crowding", "0"],
        }],
        ..Plan::default()
    }
}

// The owner of all programs gets SIGTERM while streams are open through it and through the other
// VM. Every stream goes on to its end and its marker, new requests are answered by the other VM
// meanwhile, the shard is handed over, and the process ends with success.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_lets_open_streams_finish() {
    let mut fleet = Fleet::start(&two_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let addresses = fleet.addresses();
    let mut streams = Vec::new();
    for index in 0..STREAMS {
        let text = format!("stream {index} #tokens=60");
        let ask = Ask::turn(&format!("p{index}"), 1, &text);
        let mut stream = open(addresses[index % 2], &ask).await.unwrap();
        stream.words(1).await;
        streams.push((text, stream));
    }
    fleet.nodes[owner].signal(Signal::Term);
    let others = fleet.others(owner);
    let late = Ask::turn("late", 1, "late #tokens=2");
    let finished = async {
        for (text, stream) in &mut streams {
            stream.finish().await;
            assert!(stream.ended, "{text} was cut off: {:?}", stream.error);
            assert_eq!(stream.text, answer::whole(&[said("user", text)], 16));
        }
    };
    let (late, ()) = tokio::join!(chat_until_answered(&others, &late), finished);
    assert_eq!(
        late.content(),
        answer::whole(&[said("user", "late #tokens=2")], 16)
    );
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
    assert_ne!(fleet.owner("east", 0, Some(owner)).await, owner);
    let again = chat_until_answered(&others, &Ask::turn("p0", 1, "stream 0 #tokens=60")).await;
    assert_eq!(again.content(), streams[0].1.text);
}

// A stream outlasts the grace of the VM that it comes through and that owns its program. The process
// ends before whoever stops it would kill it, which is after one grace, and the stream's caller is
// told that the VM stops: its connection isn't just cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_beyond_the_grace_ends_with_a_refusal() {
    let mut fleet = Fleet::start(&Plan {
        limit_lines: "grace = \"2s\"\n".to_owned(),
        ..two_vms()
    })
    .await;
    let owner = fleet.owner("east", 0, None).await;
    let ask = Ask::turn("long", 1, "long #tokens=400");
    let mut stream = open(fleet.nodes[owner].callers, &ask).await.unwrap();
    stream.words(1).await;
    let stopped = Instant::now();
    fleet.nodes[owner].signal(Signal::Term);
    stream.finish().await;
    let status = fleet.nodes[owner].process.wait().await;
    let took = stopped.elapsed();
    assert!(status.success(), "{status}");
    assert!(took < Duration::from_secs(2), "{took:?}");
    assert!(!stream.ended);
    assert_eq!(stream.error["code"], "CY4105");
    assert_eq!(stream.error["ran"], "unknown");
}

// The owner of all programs stops while a stream of two seconds runs. Callers whose balancer hasn't
// noticed send it turns: those that could outlast it are refused at once, as not run, and answered
// by the other VM; one with a deadline before its end waits for the next owner and is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_vm_takes_only_what_ends_before_it() {
    let mut fleet = Fleet::start(&Plan {
        limit_lines: "grace = \"20s\"\n".to_owned(),
        ..two_vms()
    })
    .await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.nodes[owner].callers;
    let admin = fleet.nodes[owner].admin;
    let first = Ask::turn("first", 1, "first #tokens=100");
    let mut stream = open(entry, &first).await.unwrap();
    stream.words(1).await;
    fleet.nodes[owner].signal(Signal::Term);
    until_some("the VM isn't ready", async || {
        (peek(admin, "/ready").await? == 503).then_some(())
    })
    .await;
    let turn = |name: &str, deadline_ms| Ask {
        deadline_ms,
        ..Ask::turn(name, 1, "late #tokens=2")
    };
    for (name, deadline_ms) in [("open", None), ("beyond", Some(60_000))] {
        let refused = chat(entry, &turn(name, deadline_ms)).await.unwrap();
        assert_eq!((refused.code(), refused.ran()), ("CY4105", "no"), "{name}");
        assert_eq!(refused.header("retry-after"), "1");
    }
    let taken = turn("within", Some(15_000));
    let (taken, ()) = tokio::join!(chat(entry, &taken), stream.finish());
    let said = answer::whole(&[said("user", "late #tokens=2")], 16);
    assert_eq!(taken.unwrap().content(), said);
    assert!(stream.ended, "cut off: {:?}", stream.error);
    let others = fleet.others(owner);
    let again = chat_until_answered(&others, &turn("open", None)).await;
    assert_eq!(again.content(), said);
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
}

// A VM starts while neither the platform nor another VM has a configuration for it, as after a power
// cut, and listens already. It is told to end, and doesn't hear it: it waits for a configuration
// until it is killed, with whatever callers it has by then. It ends as at any other time.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_starts_hears_that_it_is_to_end() {
    let mut fleet = Fleet::start(&two_vms()).await;
    fleet.relays.platform_of("east").cut();
    for node in &mut fleet.nodes {
        node.process.kill();
    }
    let node = &mut fleet.nodes[0];
    node.restart();
    until_some("the VM listens", async || {
        (peek(node.admin, "/health").await? == 200).then_some(())
    })
    .await;
    assert_eq!(peek(node.admin, "/ready").await, Some(503));
    node.signal(Signal::Term);
    let ended = tokio::time::timeout(Duration::from_secs(5), node.process.wait()).await;
    let status = ended.expect("it didn't hear");
    assert!(status.success(), "{status}");
}

/// Sends turns, each on a connection of its own, until the door is closed, and counts the answers;
/// an answer that isn't whole fails the test.
async fn ask_until_closed(address: SocketAddr, name: String) -> usize {
    let body = r#"{"model":"m1","messages":[{"role":"user","content":"more #tokens=4"}]}"#;
    for turn in 0.. {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return turn;
        };
        let deadline = ["", "chestnutyoke-deadline-ms: 6000\r\n"][turn % 2];
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\
             authorization: Bearer {TOKEN}\r\nchestnutyoke-program: {name}-{turn}\r\n\
             chestnutyoke-turn: 1\r\n{deadline}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer).await;
        assert!(read.is_ok(), "{name}-{turn}: {read:?} after {answer:?}");
        let (head, body) = answer.split_once("\r\n\r\n").expect("a whole head");
        assert!(head.starts_with("HTTP/1.1 "), "{head}");
        let json: serde_json::Value = serde_json::from_str(body).expect("a whole body");
        let refused = json["error"]["ran"] == "no";
        assert!(
            refused || json["choices"][0]["message"].is_object(),
            "{body}"
        );
    }
    unreachable!()
}

// Callers send turns to a VM without a pause, each on a new connection, from before its SIGTERM to
// its end. Each of them that finds the door open gets a whole answer or is told that its turn didn't
// run, at whichever moment of the stop it comes.
#[tokio::test(flavor = "multi_thread")]
async fn whoever_finds_the_door_open_is_answered() {
    let mut fleet = Fleet::start(&Plan {
        limit_lines: "grace = \"10s\"\n".to_owned(),
        ..two_vms()
    })
    .await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.nodes[owner].callers;
    let long = Ask::turn("long", 1, "long #tokens=50");
    let mut stream = open(entry, &long).await.unwrap();
    stream.words(1).await;
    let callers: Vec<_> = (0..STREAMS)
        .map(|index| tokio::spawn(ask_until_closed(entry, format!("c{index}"))))
        .collect();
    stream.words(10).await;
    fleet.nodes[owner].signal(Signal::Term);
    stream.finish().await;
    assert!(stream.ended, "cut off: {:?}", stream.error);
    for caller in callers {
        assert!(caller.await.unwrap() > 0);
    }
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
}

// The owner of all programs has nothing to do and is told to end. The balancer sends it callers for two
// seconds more, who would find no listener were it closed at once; it hands its shards over and passes
// their turns on to the new owner.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_vm_answers_until_the_balancer_has_noticed() {
    let mut fleet = Fleet::start(&two_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.nodes[owner].callers;
    fleet.nodes[owner].signal(Signal::Term);
    assert_ne!(fleet.owner("east", 0, Some(owner)).await, owner);
    let ask = Ask {
        deadline_ms: Some(15_000),
        ..Ask::turn("late", 1, "late #tokens=2")
    };
    let got = chat(entry, &ask).await.expect("the VM listens");
    let said = answer::whole(&[said("user", "late #tokens=2")], 16);
    assert_eq!(got.content(), said);
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
}

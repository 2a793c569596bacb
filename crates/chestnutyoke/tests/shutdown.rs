//! A shutdown cuts off no request and ends within its grace period.

mod harness;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use harness::ChatRequest;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::Signal;
use harness::TOKEN;
use harness::chat;
use harness::chat_until_answered;
use harness::http_status;
use harness::message;
use harness::open;
use harness::wait_for;
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
// VM. Every stream continues to its end marker, new requests are answered by the other VM
// meanwhile, the shard is handed over, and the process exits successfully.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_lets_open_streams_finish() {
    let mut fleet = Fleet::start(&two_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let addresses = fleet.addresses();
    let mut streams = Vec::new();
    for index in 0..STREAMS {
        let text = format!("stream {index} #tokens=60");
        let request = ChatRequest::turn(&format!("p{index}"), 1, &text);
        let mut stream = open(addresses[index % 2], &request).await.unwrap();
        stream.words(1).await;
        streams.push((text, stream));
    }
    fleet.nodes[owner].signal(Signal::Term);
    let others = fleet.others(owner);
    let late = ChatRequest::turn("late", 1, "late #tokens=2");
    let finished = async {
        for (text, stream) in &mut streams {
            stream.finish().await;
            assert!(stream.ended, "{text} was cut off: {:?}", stream.error);
            assert_eq!(stream.text, answer::whole(&[message("user", text)], 16));
        }
    };
    let (late, ()) = tokio::join!(chat_until_answered(&others, &late), finished);
    assert_eq!(
        late.content(),
        answer::whole(&[message("user", "late #tokens=2")], 16)
    );
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
    assert_ne!(fleet.owner("east", 0, Some(owner)).await, owner);
    let again =
        chat_until_answered(&others, &ChatRequest::turn("p0", 1, "stream 0 #tokens=60")).await;
    assert_eq!(again.content(), streams[0].1.text);
}

// A stream lasts longer than the grace period of the VM that it goes through and that owns its
// program. The process ends within the grace period, after which it would be killed, and the caller
// of the stream gets an error that says that the VM is stopping, not just a cut connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_beyond_the_grace_period_ends_with_a_refusal() {
    let mut fleet = Fleet::start(&Plan {
        limit_lines: "grace = \"2s\"\n".to_owned(),
        ..two_vms()
    })
    .await;
    let owner = fleet.owner("east", 0, None).await;
    let request = ChatRequest::turn("long", 1, "long #tokens=400");
    let mut stream = open(fleet.nodes[owner].callers, &request).await.unwrap();
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
// noticed that still send it turns. Turns that could last longer than the VM are refused at once as
// not run, and the other VM answers them; a turn whose deadline is before the VM's end waits for
// the next owner and is answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_vm_accepts_only_what_ends_before_it() {
    let mut fleet = Fleet::start(&Plan {
        limit_lines: "grace = \"20s\"\n".to_owned(),
        ..two_vms()
    })
    .await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.nodes[owner].callers;
    let admin = fleet.nodes[owner].admin;
    let first = ChatRequest::turn("first", 1, "first #tokens=100");
    let mut stream = open(entry, &first).await.unwrap();
    stream.words(1).await;
    fleet.nodes[owner].signal(Signal::Term);
    wait_for("the VM isn't ready", async || {
        (http_status(admin, "/ready").await? == 503).then_some(())
    })
    .await;
    let turn = |name: &str, deadline_ms| ChatRequest {
        deadline_ms,
        ..ChatRequest::turn(name, 1, "late #tokens=2")
    };
    for (name, deadline_ms) in [("open", None), ("beyond", Some(60_000))] {
        let refused = chat(entry, &turn(name, deadline_ms)).await.unwrap();
        assert_eq!((refused.code(), refused.ran()), ("CY4105", "no"), "{name}");
        assert_eq!(refused.header("retry-after"), "1");
    }
    let accepted = turn("within", Some(15_000));
    let (accepted, ()) = tokio::join!(chat(entry, &accepted), stream.finish());
    let expected = answer::whole(&[message("user", "late #tokens=2")], 16);
    assert_eq!(accepted.unwrap().content(), expected);
    assert!(stream.ended, "cut off: {:?}", stream.error);
    let others = fleet.others(owner);
    let again = chat_until_answered(&others, &turn("open", None)).await;
    assert_eq!(again.content(), expected);
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
}

// A VM starts while neither the platform nor another VM has a configuration for it, as after a
// power cut, and already listens. It gets SIGTERM in that state. Without handling it there, the VM
// would wait for a configuration until it is killed, together with the callers that it has by then.
// It must shut down as at any other time.
#[tokio::test(flavor = "multi_thread")]
async fn a_starting_vm_handles_sigterm() {
    let mut fleet = Fleet::start(&two_vms()).await;
    fleet.proxies.platform_of("east").cut();
    for node in &mut fleet.nodes {
        node.process.kill();
    }
    let node = &mut fleet.nodes[0];
    node.restart();
    wait_for("the VM listens", async || {
        (http_status(node.admin, "/health").await? == 200).then_some(())
    })
    .await;
    assert_eq!(http_status(node.admin, "/ready").await, Some(503));
    node.signal(Signal::Term);
    let ended = tokio::time::timeout(Duration::from_secs(5), node.process.wait()).await;
    let status = ended.expect("it ignored SIGTERM");
    assert!(status.success(), "{status}");
}

/// Sends turns, each on a new connection, until the listener is closed, and returns the number of
/// answers. An incomplete answer fails the test.
async fn send_until_closed(address: SocketAddr, name: String) -> usize {
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
        let (head, body) = answer.split_once("\r\n\r\n").expect("a complete head");
        assert!(head.starts_with("HTTP/1.1 "), "{head}");
        let json: serde_json::Value = serde_json::from_str(body).expect("a complete body");
        let refused = json["error"]["ran"] == "no";
        assert!(
            refused || json["choices"][0]["message"].is_object(),
            "{body}"
        );
    }
    unreachable!()
}

// Callers send turns to a VM without a pause, each on a new connection, from before its SIGTERM to
// its end. Each turn whose connection is accepted gets a complete answer or a refusal that says
// that it didn't run, at any moment of the shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn every_accepted_connection_is_answered() {
    let mut fleet = Fleet::start(&Plan {
        limit_lines: "grace = \"10s\"\n".to_owned(),
        ..two_vms()
    })
    .await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.nodes[owner].callers;
    let long = ChatRequest::turn("long", 1, "long #tokens=50");
    let mut stream = open(entry, &long).await.unwrap();
    stream.words(1).await;
    let callers: Vec<_> = (0..STREAMS)
        .map(|index| tokio::spawn(send_until_closed(entry, format!("c{index}"))))
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

// The owner of all programs is idle and gets SIGTERM. The balancer sends it callers for two more
// seconds, who would find no listener if the VM closed it at once. The VM hands its shards over and
// forwards the callers' turns to the new owner.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_vm_answers_until_the_balancer_has_noticed() {
    let mut fleet = Fleet::start(&two_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.nodes[owner].callers;
    fleet.nodes[owner].signal(Signal::Term);
    assert_ne!(fleet.owner("east", 0, Some(owner)).await, owner);
    let request = ChatRequest {
        deadline_ms: Some(15_000),
        ..ChatRequest::turn("late", 1, "late #tokens=2")
    };
    let answered = chat(entry, &request).await.expect("the VM listens");
    let expected = answer::whole(&[message("user", "late #tokens=2")], 16);
    assert_eq!(answered.content(), expected);
    let status = fleet.nodes[owner].process.wait().await;
    assert!(status.success(), "{status}");
}

//! Requests from a caller through real processes to runners and services and back.

mod support;

use serde_json::Value;
use serde_json::json;

use support::Process;
use support::Vm;

/// Three VMs in two data centres, two runners of different speed, a service and a platform.
struct Fleet {
    platform: Process,
    runners: Vec<Process>,
    service: Process,
    nodes: Vec<Process>,
}

async fn fleet() -> Fleet {
    let platform = support::standin("platform", &[]);
    let fast = support::standin("runner", &["--model", "m"]);
    let slow = support::standin("runner", &["--model", "m", "--tokens-per-second", "50"]);
    let service = support::standin("service", &[]);
    let endpoints = [
        support::endpoint("fast", "runner", fast.address(""), "a", "m"),
        support::endpoint("shore", "service", service.address(""), "a", "shore"),
        support::endpoint("slow", "runner", slow.address(""), "b", "m"),
    ];
    support::configure(platform.address(""), &support::config(&endpoints)).await;
    let vms: Vec<Vm> = support::vms(&[("a1", "a"), ("a2", "a"), ("b1", "b")]);
    let start = |vm: &Vm| support::node(vm, &vms, platform.address(""), "");
    let nodes: Vec<Process> = vms.iter().map(start).collect();
    for node in &nodes {
        support::until(node.address("callers"), "/ready", |a| {
            a["status"] == "ready"
        })
        .await;
        // Two shards of each data centre.
        support::until(node.address("admin"), "/status", |a| {
            a["owners"]
                .as_array()
                .is_some_and(|owners| owners.len() == 4)
        })
        .await;
    }
    Fleet {
        platform,
        runners: vec![fast, slow],
        service,
        nodes,
    }
}

/// A program's turns are sent to VMs of different data centres and share one history.
#[tokio::test]
async fn a_program_continues_at_any_vm() {
    let fleet = fleet().await;
    let [a, b] = [0, 2].map(|at| fleet.nodes[at].address("callers"));
    let (status, first) = support::ask(a, "/v1/chat/completions", &[], &support::chat("one")).await;
    assert_eq!(status, 200, "{first}");
    let program = first["chestnutyoke"]["program"]
        .as_str()
        .unwrap()
        .to_owned();
    assert_eq!(first["choices"][0]["finish_reason"], "stop");

    let named = [
        ("chestnutyoke-program", program.as_str()),
        ("chestnutyoke-turn", "2"),
    ];
    let chat = support::chat("two");
    let (status, second) = support::ask(b, "/v1/chat/completions", &named, &chat).await;
    assert_eq!(status, 200, "{second}");
    assert!(second["usage"]["prompt_tokens"].as_u64() > first["usage"]["prompt_tokens"].as_u64());

    let (status, again) = support::ask(a, "/v1/chat/completions", &named, &chat).await;
    assert_eq!(status, 200, "{again}");
    assert_eq!(again["choices"], second["choices"]);

    let shown = support::get(b, &format!("/v1/programs/{program}")).await;
    assert_eq!(shown["turns"], 2);
    assert_eq!(shown["messages"].as_array().unwrap().len(), 4);
    let counts = support::get(fleet.platform.address(""), "/stats").await;
    assert!(counts["writes"].as_u64().unwrap() >= 4, "{counts}");
}

/// A VM is killed. Turns of the programs that it owned are sent at once to the other VM of its data
/// centre, where they wait for the takeover. Each turn is answered and none is refused.
#[tokio::test]
async fn turns_wait_for_a_takeover() {
    let mut fleet = fleet().await;
    let survivor = fleet.nodes[1].address("callers");
    let path = "/v1/chat/completions";
    let programs: Vec<String> = (0..8).map(|n| format!("p-a-{n:016x}")).collect();
    for program in &programs {
        let named = [
            ("chestnutyoke-program", program.as_str()),
            ("chestnutyoke-turn", "1"),
        ];
        let (status, answer) = support::ask(survivor, path, &named, &support::chat("one")).await;
        assert_eq!(status, 200, "{answer}");
    }
    fleet.nodes[0].kill();
    let mut calls = tokio::task::JoinSet::new();
    for program in programs {
        calls.spawn(async move {
            let named = [
                ("chestnutyoke-program", program.as_str()),
                ("chestnutyoke-turn", "2"),
            ];
            support::ask(survivor, path, &named, &support::chat("two")).await
        });
    }
    for (status, answer) in calls.join_all().await {
        assert_eq!(status, 200, "{answer}");
        assert_eq!(answer["chestnutyoke"]["turn"], 2);
    }
}

/// A streamed answer has the same text as the committed one, and ends with the end marker.
#[tokio::test]
async fn a_stream_is_complete() {
    let fleet = fleet().await;
    let a = fleet.nodes[0].address("callers");
    let mut chat = support::chat("tell #tokens=20");
    chat["stream"] = json!(true);
    let bearer = format!("Bearer {}", support::TOKEN);
    let headers = [("authorization", bearer.as_str())];
    let body = chat.to_string();
    let response = support::send(a, "POST", "/v1/chat/completions", &headers, &body).await;
    let response = response.unwrap();
    let program = response.headers()["chestnutyoke-program"]
        .to_str()
        .unwrap()
        .to_owned();
    let (text, ended) = support::stream(response).await;
    assert!(ended, "{text}");
    let shown = support::get(a, &format!("/v1/programs/{program}")).await;
    assert_eq!(shown["messages"][1]["content"], support::content(&text));
    assert_eq!(shown["tokens_spent"], 20);
}

/// A runner cuts off a stream in the middle. The caller still gets one complete answer: the rest
/// comes from another attempt, which gets the first part as its beginning.
#[tokio::test]
async fn a_cut_stream_is_resumed() {
    let fleet = fleet().await;
    let a = fleet.nodes[0].address("callers");
    let runner = fleet.runners[0].address("");
    let whole = support::ask(
        a,
        "/v1/chat/completions",
        &[],
        &support::chat("x #tokens=12"),
    )
    .await;
    let faults = json!({"cuts": 1, "cut_after": 5});
    support::post(runner, "/faults", &[], &faults).await;
    let cut = support::ask(
        a,
        "/v1/chat/completions",
        &[],
        &support::chat("x #tokens=12"),
    )
    .await;
    assert_eq!(cut.0, 200, "{}", cut.1);
    assert_eq!(
        cut.1["choices"][0]["message"],
        whole.1["choices"][0]["message"]
    );
    let stats = support::get(runner, "/stats").await;
    assert_eq!(stats["aborted"], 1, "{stats}");
}

/// A switching order is sent to every VM with the same key. It runs once, and the answers are
/// equal.
#[tokio::test]
async fn an_order_runs_once() {
    let fleet = fleet().await;
    let headers = [("idempotency-key", "order-1")];
    let order = json!({"berth": 4});
    let mut answers = Vec::new();
    for node in &fleet.nodes {
        let callers = node.address("callers");
        answers.push(support::ask(callers, "/v1/services/shore/switch", &headers, &order).await);
    }
    assert_eq!(answers[0].0, 200, "{}", answers[0].1);
    assert_eq!(answers[0], answers[1]);
    let stats = support::get(fleet.service.address(""), "/stats").await;
    let runs: Vec<&Value> = stats["runs"].as_array().unwrap().iter().collect();
    assert_eq!(runs.len(), 1, "{stats}");
    assert_eq!(runs[0]["runs"], 1);
}

/// A bad request and the refusal that it gets.
struct Bad<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a [(&'a str, &'a str)],
    body: &'a str,
    refusal: (u16, &'a str),
}

/// Each invalid request is refused with the right code and doesn't run.
#[tokio::test]
async fn bad_requests_are_refused_with_their_codes() {
    let fleet = fleet().await;
    let a = fleet.nodes[0].address("callers");
    let path = "/v1/chat/completions";
    let bearer = format!("Bearer {}", support::TOKEN);
    let token = [("authorization", bearer.as_str())];
    let zero = [token[0], ("chestnutyoke-turn", "0")];
    let chat = support::chat("one").to_string();
    let unknown = chat.replace("\"m\"", "\"other\"");
    let large = support::chat(&"x".repeat(3 * 1024 * 1024)).to_string();
    let long = "x".repeat(20 * 1024);
    let headers = [token[0], ("x-long", long.as_str())];
    let bad = |method, path, headers, body, refusal| Bad {
        method,
        path,
        headers,
        body,
        refusal,
    };
    let post = |path, body, refusal| bad("POST", path, &token, body, refusal);
    let cases = [
        post(path, "{", (400, "CY1101")),
        post(path, &large, (413, "CY1102")),
        bad("POST", path, &headers, &chat, (431, "CY1103")),
        bad("POST", path, &zero, &chat, (400, "CY1104")),
        bad("GET", "/nowhere", &token, "", (404, "CY1105")),
        bad("GET", path, &token, "", (405, "CY1107")),
        bad("POST", path, &[], &chat, (401, "CY1201")),
        post(path, &unknown, (404, "CY1203")),
        post("/v1/services/none/x", "{}", (404, "CY1204")),
        bad("GET", "/v1/programs/none", &token, "", (404, "CY1205")),
        post("/v1/services/shore/switch", "{}", (400, "CY1305")),
    ];
    for case in &cases {
        let sent = support::send(a, case.method, case.path, case.headers, case.body).await;
        let (status, answer) = support::read_json(sent.expect("an answer")).await;
        let code = answer["error"]["code"].as_str().unwrap_or_default();
        assert_eq!((status, code), case.refusal, "{answer}");
        assert_eq!(answer["error"]["ran"], "no", "{answer}");
    }
    for runner in &fleet.runners {
        let stats = support::get(runner.address(""), "/stats").await;
        assert_eq!(stats["attempts"], json!([]));
    }
}

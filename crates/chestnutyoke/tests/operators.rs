//! The embedded deployment and the operators' subcommands, as a new user runs them.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

use chestnutyoke::embedded;
use serde_json::Value;

/// A new user starts the embedded deployment, sends the printed request, asks why it was placed
/// where it was, labels the program, sees the change in force, and ends the program, all by command
/// line.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_user_can_send_explain_label_and_end() {
    let deployment = embedded::start(0, 0).await.unwrap();
    let welcome = deployment.welcome();
    assert!(welcome.contains(&deployment.callers().to_string()));
    let headers = [
        ("authorization", "Bearer crew-token"),
        ("chestnutyoke-program", "ferry-7"),
        ("chestnutyoke-turn", "1"),
    ];
    let chat = serde_json::json!({
        "model": "berth-assistant",
        "messages": [{ "role": "user", "content": "plan berth 4" }],
    });
    let path = "/v1/chat/completions";
    let (status, answer) = support::post(deployment.callers(), path, &headers, &chat).await;
    assert_eq!(status, 200, "{answer}");

    let admin = deployment.admin();
    let explained = json(admin, &["explain", "ferry-7"]).await;
    let placed = &explained["decisions"][0];
    assert_eq!(placed["turn"], 1);
    assert!(
        placed["detail"].as_str().unwrap().contains("choice="),
        "{placed}"
    );

    let changed = json(
        admin,
        &["label", "set", "program", "ferry-7", "duty=emergency"],
    )
    .await;
    assert_eq!(changed["revision"], 2);
    assert_eq!(changed["rollout"]["reached"][0], "try-1");

    let shown = json(admin, &["program", "show", "ferry-7"]).await;
    assert_eq!(
        (&shown["turns"], &shown["caller"]),
        (&1.into(), &"crew".into())
    );
    let ended = json(admin, &["program", "end", "ferry-7"]).await;
    assert_eq!(ended["ended"], "CY1303");
    let next = [headers[0], headers[1], ("chestnutyoke-turn", "2")];
    let (status, refused) = support::post(deployment.callers(), path, &next, &chat).await;
    assert_eq!((status, &refused["error"]["code"]), (410, &"CY1303".into()));
    deployment.stop().await;
}

/// Two operators read revision 1 and change the same label. The second change names the revision
/// that it is based on, which is outdated, so it is refused and nothing is overwritten.
#[tokio::test(flavor = "multi_thread")]
async fn the_slower_of_two_operators_is_refused() {
    let deployment = embedded::start(0, 0).await.unwrap();
    let admin = deployment.admin();
    let set = |value: &'static str| ["label", "set", "caller", "crew", value, "--expect", "1"];
    json(admin, &set("role=pilot")).await;
    let second = run(admin, &set("role=tug")).await;
    assert!(!second.status.success());
    let message = String::from_utf8(second.stderr).unwrap();
    assert!(message.starts_with("CY5101"), "{message}");
    let config = support::get(admin, "/operate/config").await;
    assert_eq!(config["callers"][1]["labels"]["role"], "pilot");
    deployment.stop().await;
}

async fn json(admin: SocketAddr, args: &[&str]) -> Value {
    let output = run(admin, args).await;
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

async fn run(admin: SocketAddr, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chestnutyoke"));
    command
        .args(args)
        .arg("--json")
        .arg("--admin")
        .arg(admin.to_string());
    tokio::task::spawn_blocking(move || command.output())
        .await
        .unwrap()
        .unwrap()
}

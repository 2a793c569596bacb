//! A small deployment of real processes on loopback, and a plain HTTP client for it.
#![allow(dead_code)] // each test file uses a part

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use wire::id::Digest;

/// Far longer than any wait here takes; a test that reaches it has failed.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// The token of the caller `tug`.
pub const TOKEN: &str = "tug-secret";

/// A process, ended when dropped.
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub line: String,
}

impl Process {
    /// Starts a process and waits for its first line.
    pub fn start(binary: &str, arguments: &[String]) -> Self {
        let mut command = Command::new(binary);
        command.args(arguments).stdout(Stdio::piped());
        if std::env::var_os("CHESTNUTYOKE_TEST_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().expect("the binary starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("stdout is piped");
        BufReader::new(out).read_line(&mut line).expect("a line");
        Self { child, line }
    }

    /// Yields an address of the first line: the one after `name=`, or the whole for an empty name.
    pub fn address(&self, name: &str) -> SocketAddr {
        let mut words = self.line.split_whitespace().skip(1);
        let found = words.find_map(|word| match name {
            "" => Some(word),
            _ => word.strip_prefix(name)?.strip_prefix('='),
        });
        found
            .and_then(|text| text.parse().ok())
            .expect("an address")
    }

    /// Yields the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, as kill -9 does.
    pub fn kill(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Waits for the end; tells whether it was a success.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("a status").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a stand-in.
pub fn standin(name: &str, arguments: &[&str]) -> Process {
    let mut all = vec![name.to_owned(), "--listen".into(), "127.0.0.1:0".into()];
    all.extend(arguments.iter().map(|a| (*a).to_owned()));
    Process::start(env!("CARGO_BIN_EXE_chestnutyoke-standin"), &all)
}

/// A VM of the deployment.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub name: &'static str,
    /// Its data centre.
    pub centre: &'static str,
    /// Its listener for VMs, chosen beforehand as others must know it.
    pub peers: SocketAddr,
}

/// Lays VMs out, each with a free port for its peers.
pub fn vms(named: &[(&'static str, &'static str)]) -> Vec<Vm> {
    let vm = |(name, centre): &(&'static str, &'static str)| Vm {
        name,
        centre,
        peers: free_address(),
    };
    named.iter().map(vm).collect()
}

/// Yields an address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Starts one VM's node.
pub fn node(vm: &Vm, all: &[Vm], platform: SocketAddr, extra: &str) -> Process {
    let text = settings(vm, all, platform, extra);
    let name = format!("chestnutyoke-{}-{}.toml", vm.name, vm.peers.port());
    let path: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the settings are written");
    let arguments = [
        "serve".to_owned(),
        "--settings".into(),
        path.display().to_string(),
    ];
    Process::start(env!("CARGO_BIN_EXE_chestnutyoke"), &arguments)
}

fn settings(vm: &Vm, all: &[Vm], platform: SocketAddr, extra: &str) -> String {
    use std::fmt::Write;
    let mut text = format!(
        r#"
[vm]
name = "{}"
centre = "{}"

[listen]
callers = "127.0.0.1:0"
peers = "{}"
admin = "127.0.0.1:0"

[platform]
addresses = ["{platform}"]

"#,
        vm.name, vm.centre, vm.peers
    );
    let mut centres: Vec<&str> = all.iter().map(|vm| vm.centre).collect();
    centres.sort_unstable();
    centres.dedup();
    for centre in centres {
        writeln!(text, "[[centres]]\nname = \"{centre}\"\nshards = 2\n").expect("a string");
    }
    for peer in all.iter().filter(|peer| peer.name != vm.name) {
        writeln!(
            text,
            "[[peers]]\nname = \"{}\"\ncentre = \"{}\"\naddress = \"{}\"\n",
            peer.name, peer.centre, peer.peers
        )
        .expect("a string");
    }
    text.push_str(extra);
    text
}

/// An endpoint of the configuration.
pub fn endpoint(name: &str, kind: &str, address: SocketAddr, centre: &str, serves: &str) -> Value {
    json!({"name": name, "kind": kind, "address": address.to_string(), "centre": centre,
           "serves": [serves], "slots": 8, "fences": true})
}

/// A configuration with the caller `tug` and a selector that allows all.
pub fn config(endpoints: &[Value]) -> Value {
    let caller = json!({"name": "tug", "token": Digest::of(TOKEN.as_bytes())});
    json!({
        "revision": 1,
        "nonce": 1,
        "callers": [caller],
        "endpoints": endpoints,
        "selectors": [{"name": "all", "once": ["switch"]}],
    })
}

/// Writes the configuration to the platform.
pub async fn configure(platform: SocketAddr, config: &Value) {
    let key = base64(b"config");
    let value = base64(config.to_string().as_bytes());
    let put = json!({"key": key, "value": value});
    let (status, _) = post(platform, "/v3/kv/put", &[], &put).await;
    assert_eq!(status, 200);
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * place)) as usize & 63];
            let filled = place <= chunk.len();
            out.push(if filled { letter as char } else { '=' });
        }
    }
    out
}

/// Sends a request; `None` where the connection broke before an answer.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response<Incoming>> {
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    http.request(request.body(body).unwrap()).await.ok()
}

/// Posts JSON and reads the JSON answer with its status.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    let response = send(address, "POST", path, headers, &body.to_string()).await;
    whole(response.expect("an answer")).await
}

/// Posts as the caller `tug`.
pub async fn ask(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    let bearer = format!("Bearer {TOKEN}");
    let mut all = vec![("authorization", bearer.as_str())];
    all.extend(headers);
    post(address, path, &all, body).await
}

/// Reads a JSON answer.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let response = send(address, "GET", path, &headers, "").await;
    whole(response.expect("an answer")).await.1
}

/// Collects a JSON answer.
pub async fn whole(response: Response<Incoming>) -> (u16, Value) {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// Collects a stream: its text, and whether it ended with the end marker.
pub async fn stream(response: Response<Incoming>) -> (String, bool) {
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8(body.to_vec()).unwrap();
    let ended = text.ends_with("data: [DONE]\n\n");
    (text, ended)
}

/// Joins the contents of a stream's pieces.
pub fn content(events: &str) -> String {
    let lines = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let pieces = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let text = |piece: Value| {
        let delta = &piece["choices"][0]["delta"]["content"];
        delta.as_str().map(str::to_owned)
    };
    pieces.filter_map(text).collect()
}

/// A chat request with one user message.
pub fn chat(text: &str) -> Value {
    json!({"model": "m", "messages": [{"role": "user", "content": text}]})
}

/// Asks again until the answer is as wished.
pub async fn until(address: SocketAddr, path: &str, wished: impl Fn(&Value) -> bool) -> Value {
    let asked = async {
        loop {
            let answer = get(address, path).await;
            if wished(&answer) {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let found = tokio::time::timeout(PATIENCE, asked).await;
    found.unwrap_or_else(|_| panic!("{path} never was as wished"))
}

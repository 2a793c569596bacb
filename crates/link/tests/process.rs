//! Requests for one process: they are sent on no connection to another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Request;
use link::body::Payload;
use link::client::Check;
use link::client::Client;
use link::client::Fault;
use link::client::Limits;
use link::client::Sent;
use link::client::Statement;
use link::client::Wait;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_secs(1),
    unacked_timeout: Duration::from_secs(1),
    idle_timeout: Duration::from_secs(1),
    reuse_delay: Duration::ZERO,
    max_idle: 4,
    max_buffer: 16 * 1024,
    max_answer: 16 * 1024,
};

/// Answers to the question when the process started.
const STATES_ITS_START: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n7";
const STATES_AND_CLOSES: &str =
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\n7";
const HAS_NO_REPORT: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
const IS_BUSY: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";

const HAS_NO_START: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnone";
const IS_NO_REPORT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";
const IS_ELSEWHERE: &str = "HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n";
const IS_NO_ANSWER: &str = "connection: close\r\n\r\n";
const WORKED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";

/// How often a process answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answers {
    /// Each request.
    Once,
    /// The first request of a connection twice, the second time when the next one has come, and so on.
    Twice,
}

/// The paths that a process was asked for.
type Paths = Arc<Mutex<Vec<String>>>;

fn question(_: SocketAddr) -> Request<Payload> {
    Request::get("/start").body(Payload::default()).unwrap()
}

fn decode(bytes: &[u8]) -> Statement {
    match std::str::from_utf8(bytes) {
        Ok("none") => Statement::Other,
        Ok(text) => text.parse().map_or(Statement::Undecodable, Statement::Born),
        Err(_) => Statement::Undecodable,
    }
}

/// Starts a process that gives this answer when it is asked for its start.
async fn start(answer: &'static str) -> (SocketAddr, Paths) {
    start_answering(answer, Answers::Once).await
}

async fn start_answering(answer: &'static str, answers: Answers) -> (SocketAddr, Paths) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let paths = Paths::default();
    let seen = paths.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer, answers, seen.clone()));
        }
    });
    (address, paths)
}

async fn serve(mut stream: TcpStream, answer: &'static str, answers: Answers, paths: Paths) {
    let mut second = None;
    let mut read = String::new();
    loop {
        while !read.contains("\r\n\r\n") {
            let mut bytes = [0; 1024];
            match stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(count) => read.push_str(std::str::from_utf8(&bytes[..count]).unwrap()),
            }
        }
        let path = read.split(' ').nth(1).unwrap().to_owned();
        read.clear();
        let answer = match path.as_str() {
            "/start" => answer,
            _ => WORKED,
        };
        paths.lock().unwrap().push(path);
        let sent = match answers {
            Answers::Once => answer,
            Answers::Twice => second.replace(answer).unwrap_or(answer),
        };
        if stream.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
        if answer.contains("connection: close") {
            return;
        }
    }
}

async fn send(client: &Arc<Client>, address: SocketAddr, born: u64) -> Result<(), Fault> {
    let check = Check {
        born,
        question,
        decode,
    };
    send_work(client, address, Some(check)).await
}

async fn send_work(
    client: &Arc<Client>,
    address: SocketAddr,
    check: Option<Check>,
) -> Result<(), Fault> {
    let request = Request::get("/work").body(Payload::default()).unwrap();
    let sent = client.send_checked(address, request, Wait::default(), check);
    let Sent::Answered(reply) = sent.await? else {
        panic!("no wait was set");
    };
    let body = reply.body.whole(10).await?;
    assert_eq!(body, "done", "the answer of another request");
    Ok(())
}

fn count(paths: &Paths, path: &str) -> usize {
    let paths = paths.lock().unwrap();
    paths.iter().filter(|asked| *asked == path).count()
}

/// Guards against a question for each request, and against requests that reach no process because it closes
/// each connection after its answer, or doesn't tell when it started.
#[rstest]
#[case::states_its_start(STATES_ITS_START, 1)]
#[case::states_and_closes(STATES_AND_CLOSES, 1)]
#[case::has_no_report(HAS_NO_REPORT, 1)]
#[case::has_no_start(HAS_NO_START, 1)]
#[tokio::test]
async fn the_expected_process_gets_requests(#[case] answer: &'static str, #[case] asked: usize) {
    let (address, paths) = start(answer).await;
    let client = Client::new(LIMITS);
    for _ in 0..2 {
        send(&client, address, 7).await.unwrap();
    }
    let paths = paths.lock().unwrap();
    let count = |path: &str| paths.iter().filter(|asked| *asked == path).count();
    assert_eq!(count("/work"), 2);
    assert_eq!(count("/start"), asked, "{paths:?}");
}

/// Guards against requests that reach another process than the expected one, also on a kept connection.
#[rstest]
#[case::states_its_start(STATES_ITS_START)]
#[case::states_and_closes(STATES_AND_CLOSES)]
#[tokio::test]
async fn another_process_gets_no_requests(#[case] answer: &'static str) {
    let (address, paths) = start(answer).await;
    let client = Client::new(LIMITS);
    send(&client, address, 7).await.unwrap();
    assert_eq!(send(&client, address, 8).await, Err(Fault::OtherProcess(7)));
    let paths = paths.lock().unwrap();
    assert_eq!(paths.iter().filter(|path| *path == "/work").count(), 1);
}

/// Guards against a second answer to the question that is taken for the answer to the request.
#[tokio::test]
async fn a_second_answer_to_the_question_meets_no_request() {
    let (address, paths) = start_answering(STATES_ITS_START, Answers::Twice).await;
    send(&Client::new(LIMITS), address, 7).await.unwrap();
    assert_eq!(count(&paths, "/work"), 1);
}

/// Guards against a second answer to an earlier request that is taken for the answer to the question, so
/// that another process gets the request as one that doesn't tell when it started.
#[tokio::test]
async fn a_second_answer_to_a_request_says_nothing_of_the_process() {
    let (address, paths) = start_answering(STATES_ITS_START, Answers::Twice).await;
    let client = Client::new(LIMITS);
    send_work(&client, address, None).await.unwrap();
    assert_eq!(send(&client, address, 8).await, Err(Fault::OtherProcess(7)));
    assert_eq!(count(&paths, "/work"), 1);
}

/// Guards against an answer that says nothing of the process and is taken as that it doesn't tell.
#[rstest]
#[case::is_no_report(IS_NO_REPORT)]
#[case::is_elsewhere(IS_ELSEWHERE)]
#[case::is_no_answer(IS_NO_ANSWER)]
#[tokio::test]
async fn an_answer_that_proves_nothing_sends_no_request(#[case] answer: &'static str) {
    let (address, paths) = start(answer).await;
    let sent = send(&Client::new(LIMITS), address, 7).await;
    assert_eq!(sent, Err(Fault::Unidentified(address)));
    assert_eq!(count(&paths, "/work"), 0);
}

/// Guards against a question for each connection: requests that wait for it share its answer.
#[tokio::test]
async fn requests_at_the_same_time_share_a_question() {
    let (address, paths) = start(STATES_ITS_START).await;
    let client = Client::new(LIMITS);
    let mut sent = JoinSet::new();
    for _ in 0..8 {
        let client = client.clone();
        sent.spawn(async move { send(&client, address, 7).await });
    }
    let sent = sent.join_all().await;
    assert!(sent.iter().all(Result::is_ok), "{sent:?}");
    assert_eq!(count(&paths, "/work"), 8);
    assert!(count(&paths, "/start") < 8, "{paths:?}");
}

/// Guards against requests that reach any process at the address while it can't say which it is. It is asked
/// again for the next one.
#[tokio::test]
async fn a_process_that_cannot_say_which_it_is_gets_no_requests() {
    let (address, paths) = start(IS_BUSY).await;
    let client = Client::new(LIMITS);
    for _ in 0..2 {
        let sent = send(&client, address, 7).await;
        assert_eq!(sent, Err(Fault::Unidentified(address)));
    }
    assert_eq!(*paths.lock().unwrap(), ["/start", "/start"]);
}

//! Pipelined requests through a daemon to a backend server.

use indigospur_test_support::{ServicePlan, Site, SitePlan, get, wait_until};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;

fn start_site() -> Site {
    start_with_logs(None)
}

fn start_with_logs(logs: Option<PathBuf>) -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 1, &[])],
        logs,
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

fn encode(method: &str, path: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: accounts\r\nindigospur-deadline-ms: 20000\r\n{fields}\r\n"
    )
}

fn paths(count: usize, work_ms: u32) -> Vec<String> {
    (0..count)
        .map(|number| format!("/{number}?work={work_ms}"))
        .collect()
}

fn gets(paths: &[String]) -> String {
    paths.iter().map(|path| encode("GET", path, "")).collect()
}

fn connect(site: &Site) -> TcpStream {
    TcpStream::connect(site.nodes[0].caller_address()).expect("the daemon listens")
}

fn read_all(mut stream: TcpStream) -> String {
    let mut answers = String::new();
    let read = stream.read_to_string(&mut answers);
    read.expect("the daemon closes without a reset");
    answers
}

/// Returns the paths in the bodies of the backend server's answers, in order.
fn answered_paths(answers: &str) -> Vec<String> {
    let bodies = answers.split("accounts/").skip(1);
    let paths = bodies.filter_map(|rest| rest.split_once("()"));
    paths.map(|(path, _)| format!("/{path}")).collect()
}

/// Guards against requests that are sent to the backend server one after another, and against responses
/// in the order in which they finish.
#[test]
fn pipelined_gets_run_together_at_the_backend_server_and_are_answered_in_order() {
    let site = start_site();
    let mut paths = paths(5, 1_000);
    paths.push("/last?work=1000".to_owned());
    // The first one finishes last.
    paths[0] = "/0?work=1500".to_owned();
    let requests = gets(&paths[..5]) + &encode("GET", &paths[5], "connection: close\r\n");
    let mut stream = connect(&site);
    stream
        .write_all(requests.as_bytes())
        .expect("the daemon reads");
    let answers = read_all(stream);
    assert_eq!(answered_paths(&answers), paths, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 6);
    assert_eq!(answers.matches("connection: close").count(), 1);
    let backend = site.nodes[0].backend.address("address");
    assert_eq!(get(&backend, "/stand-in/busy").body, "6");
}

/// Guards against an unsafe request that runs beside others of its connection.
#[test]
fn a_pipelined_post_runs_alone_at_the_backend_server() {
    let site = start_site();
    let paths = ["/0?work=50", "/1?work=50", "/2?work=50"].map(str::to_owned);
    let requests = encode("POST", &paths[0], "content-length: 0\r\n")
        + &encode("POST", &paths[1], "content-length: 0\r\n")
        + &encode("GET", &paths[2], "connection: close\r\n");
    let mut stream = connect(&site);
    stream
        .write_all(requests.as_bytes())
        .expect("the daemon reads");
    assert_eq!(answered_paths(&read_all(stream)), paths);
    let backend = site.nodes[0].backend.address("address");
    assert_eq!(get(&backend, "/stand-in/busy").body, "1");
}

/// Guards against a stop that cuts off requests that were forwarded, and against requests that run
/// although their response says otherwise or they are behind the close. Requests that were read and had
/// not started are refused as not run.
#[test]
fn a_planned_stop_answers_the_pipelined_requests_that_run_and_starts_no_more() {
    let mut site = start_site();
    let paths = paths(100, 400);
    let mut stream = connect(&site);
    stream
        .write_all(gets(&paths).as_bytes())
        .expect("the daemon reads");
    wait_until("requests run", || !site.nodes[0].journal().is_empty());
    site.nodes[0].daemon.signal("TERM");
    let answers = read_all(stream);
    let served = answered_paths(&answers);
    assert!(!served.is_empty());
    assert_eq!(served, paths[..served.len()], "{answers}");
    let journal = site.nodes[0].journal();
    assert_eq!(journal.len(), served.len());
    assert!(journal.iter().all(|entry| entry["finished"] == true));
    let refused = answers.matches("indigospur-ran: no").count();
    let responses = answers.matches("HTTP/1.1 ").count();
    assert_eq!(responses, served.len() + refused, "{answers}");
    assert!(responses < paths.len());
    let last = answers.rsplit("HTTP/1.1 ").next().unwrap_or_default();
    assert!(last.contains("connection: close"), "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1);
    assert_eq!(site.nodes[0].daemon.wait(), Some(0));
}

/// Guards against calls that go on, and hold slots, for a caller that has gone.
#[test]
fn a_caller_that_disconnects_cancels_all_its_pipelined_requests() {
    let site = start_site();
    let node = &site.nodes[0];
    let mut stream = connect(&site);
    stream
        .write_all(gets(&paths(6, 19_000)).as_bytes())
        .expect("the daemon reads");
    wait_until("all calls run", || node.journal().len() == 6);
    assert_eq!(node.status()["in-flight"], 6);
    stream.shutdown(Shutdown::Both).expect("it is open");
    wait_until("the calls are cancelled", || {
        node.status()["in-flight"] == 0
    });
    let journal = node.journal();
    assert!(journal.iter().all(|entry| entry["finished"] == false));
}

/// Guards against a request whose time counts only from its turn, and against waits on a connection that
/// no log shows.
#[test]
fn waiting_behind_others_counts_towards_the_deadline_and_is_logged() {
    let folder = std::env::temp_dir().join(format!("indigospur-waits-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
    let site = start_with_logs(Some(folder.clone()));
    let node = &site.nodes[0];
    let requests = encode("GET", "/0?work=1500", "")
        + &encode("GET", "/1?work=1", "")
        + "POST /2 HTTP/1.1\r\nhost: accounts\r\nindigospur-deadline-ms: 200\r\nconnection: close\r\n\r\n";
    let mut stream = connect(&site);
    stream
        .write_all(requests.as_bytes())
        .expect("the daemon reads");
    let answers = read_all(stream);
    assert_eq!(answered_paths(&answers), ["/0?work=1500", "/1?work=1"]);
    assert!(
        answers.contains("indigospur-kind: deadline-waiting"),
        "{answers}"
    );
    assert_eq!(node.journal().len(), 2);
    let log = || {
        let path = node.daemon_log().expect("logs are kept");
        std::fs::read_to_string(path).unwrap_or_default()
    };
    wait_until("both waits are logged", || {
        let log = log();
        let held = "response waited for those to earlier requests on its connection path=/1";
        log.contains(held) && log.contains("held_ms=") && log.contains("waited_ms=")
    });
    drop(site);
    let _ = std::fs::remove_dir_all(&folder);
}

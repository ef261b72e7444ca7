//! Backend servers that send bytes without end, in daemons with little memory: calls to them fail,
//! other calls on the same daemons are answered, and no daemon uses more memory than it has.

use indigospur_test_support::{
    Call, Process, Response, Script, ServicePlan, Site, SitePlan, request, wait_until,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Memory of each host in the settings, in MiB.
const MEMORY_MIB: u64 = 160;
const SLOTS: u32 = 200;
const DEADLINE_MS: u64 = 3_000;
/// Calls to another service meanwhile.
const OTHER_CALLS: usize = 10;

/// Starts a host of each of two services. `limits` are further settings in the table of that name.
fn start_site(limits: &str) -> Site {
    let services = ["accounts", "boards"].map(|name| ServicePlan::new(name, 1, &[]));
    let plan = SitePlan {
        services: services.into(),
        settings: format!("[limits]\nmemory = {MEMORY_MIB}\n{limits}"),
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

/// Checks that no daemon has used more memory than its host has.
fn assert_within_memory(name: &str, site: &mut Site) {
    for host in ["accounts-0", "boards-0"] {
        let peak = peak_mib(&site.node(host).daemon);
        println!("{name}: {host} peaks at {peak} MiB");
        assert!(peak <= MEMORY_MIB, "{name}: {host} peaks at {peak} MiB");
    }
}

fn call(address: &str, service: &str) -> Response {
    let call = Call {
        service,
        path: "/x",
        deadline_ms: DEADLINE_MS,
        ..Call::default()
    };
    request(address, &call)
}

/// Largest resident memory of a process so far, in MiB.
fn peak_mib(process: &Process) -> u64 {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    peak.expect("the system reports the peak") / 1_024
}

/// Fills all slots of a backend server that follows `script`, and checks what becomes of these calls,
/// of other calls and of the daemons.
fn assert_contained(name: &str, script: Script) {
    let mut site = start_site("");
    let scripted = site.script_backend("accounts-0", SLOTS, script);
    let [near, far] = ["accounts-0", "boards-0"].map(|host| site.node(host).caller_address());
    wait_until("the other daemon knows the backend server", || {
        call(&far, "accounts").kind != "no-upstream"
    });
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..SLOTS)
            .map(|_| scope.spawn(|| call(&far, "accounts")))
            .collect();
        wait_until("the backend server has calls", || scripted.requests() > 1);
        for _ in 0..OTHER_CALLS {
            let other = call(&near, "boards");
            assert_eq!(other.status, 200, "{name}: {other:?}");
        }
        for call in calls {
            let failed = call.join().expect("the call returns");
            assert!(
                [502, 503, 504].contains(&failed.status),
                "{name}: {failed:?}"
            );
            assert!(
                failed.status != 503 || failed.ran == "no",
                "{name}: {failed:?}"
            );
            assert_ne!(failed.kind, "link-lost", "{name}: {failed:?}");
        }
    });
    assert_within_memory(name, &mut site);
}

#[test]
fn endless_interim_responses_hold_up_no_other_call() {
    let interim = Script::endless("", "HTTP/1.1 102 Processing\r\n\r\n");
    assert_contained("interim responses", interim);
}

#[test]
fn an_endless_head_holds_up_no_other_call() {
    assert_contained("head", Script::endless("HTTP/1.1 200 OK\r\n", "x: y\r\n"));
}

#[test]
fn an_endless_body_stays_within_the_memory() {
    assert_contained(
        "body",
        Script::endless("HTTP/1.1 200 OK\r\n\r\n", "content"),
    );
}

#[test]
fn endless_chunks_stay_within_the_memory() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    assert_contained("chunks", Script::endless(head, "8\r\ncontents\r\n"));
}

#[test]
fn bytes_that_are_no_response_hold_up_no_other_call() {
    assert_contained("junk", Script::endless("", "\u{1}junk\r\n"));
}

#[test]
fn responses_that_come_to_a_crawl_stay_within_the_memory() {
    let mut start = b"HTTP/1.1 200 OK\r\ncontent-length: 4194304\r\n\r\n".to_vec();
    start.resize(4_000_000, b'x');
    let crawling = Script::Endless {
        start,
        repeated: b"x".into(),
        pause: Duration::from_millis(50),
    };
    assert_contained("crawl", crawling);
}

/// Sends a request with a body of `length` bytes and returns the status of the response; zero if the
/// connection ends without one.
fn upload(address: &str, length: usize) -> u16 {
    let head = format!(
        "POST /x HTTP/1.1\r\nhost: accounts\r\nindigospur-service: accounts\r\nconnection: close\r\n\
         indigospur-deadline-ms: 20000\r\ncontent-length: {length}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    // A refused request is not read to its end.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'x'; length]);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response);
    let status = response
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.get(..3));
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

#[test]
fn the_largest_body_that_the_settings_allow_is_passed_on_whole() {
    const LARGEST: usize = 12 * 1_024 * 1_024;
    let mut site = start_site(&format!("body = {LARGEST}\n"));
    let far = site.node("boards-0").caller_address();
    assert_eq!(upload(&far, LARGEST), 200);
    assert_eq!(upload(&far, LARGEST + 1), 413);
    assert_within_memory("largest body", &mut site);
}

#[test]
fn large_bodies_of_many_callers_stay_within_the_memory() {
    const LARGE: usize = 4_000_000;
    const SMALL: usize = 10_000;
    let mut site = start_site("body = 4194304\n");
    let far = site.node("boards-0").caller_address();
    let statuses = std::thread::scope(|scope| {
        let uploads: Vec<_> = (0..100)
            .map(|_| scope.spawn(|| upload(&far, LARGE)))
            .collect();
        for _ in 0..OTHER_CALLS {
            assert_eq!(upload(&far, SMALL), 200, "small bodies get through");
        }
        let statuses = uploads
            .into_iter()
            .map(|upload| upload.join().expect("it returns"));
        statuses.collect::<Vec<u16>>()
    });
    let count = |status: u16| statuses.iter().filter(|other| **other == status).count();
    println!(
        "answered {}, refused {}, of {}",
        count(200),
        count(503),
        statuses.len()
    );
    assert!(count(200) > 0, "{statuses:?}");
    // A caller that is still sending may miss the refusal.
    assert_eq!(
        count(200) + count(503) + count(0),
        statuses.len(),
        "{statuses:?}"
    );
    assert_within_memory("uploads", &mut site);
}

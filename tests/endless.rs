//! Backend servers that send bytes without end, in daemons with little memory: calls to them fail,
//! other calls on the same daemons are answered, and no daemon uses more memory than it has.

use indigospur_test_support::{
    Call, HostProxies, Process, Response, Script, ServicePlan, Site, SitePlan, request, wait_until,
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

/// Sends a request to `service` with a body of `length` bytes and returns the status of the response; zero
/// if the connection ends without one.
fn upload(address: &str, service: &str, length: usize) -> u16 {
    let head = format!(
        "POST /x HTTP/1.1\r\nhost: {service}\r\nindigospur-service: {service}\r\nconnection: close\r\n\
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

/// The bytes belong to no call. They may arrive once the next call on the connection has been sent, which
/// then fails.
#[test]
fn bytes_without_end_behind_whole_responses_stay_within_the_memory() {
    const ROUNDS: usize = 3;
    let whole = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=60\r\ncontent-length: 5\r\n\r\nwhole";
    let mut site = start_site("");
    let scripted = site.script_backend("accounts-0", SLOTS, Script::endless(whole, "x"));
    let [near, far] = ["accounts-0", "boards-0"].map(|host| site.node(host).caller_address());
    wait_until("the other daemon knows the backend server", || {
        call(&far, "accounts").status == 200
    });
    for _ in 0..ROUNDS {
        std::thread::scope(|scope| {
            let calls: Vec<_> = (0..SLOTS)
                .map(|_| scope.spawn(|| call(&far, "accounts")))
                .collect();
            for _ in 0..OTHER_CALLS {
                let other = call(&near, "boards");
                assert_eq!(other.status, 200, "{other:?}");
            }
            for call in calls {
                let response = call.join().expect("the call returns");
                let is_whole = response.status == 200 && response.body == "whole";
                let is_failed = [502, 503, 504].contains(&response.status);
                assert!(is_whole || is_failed, "{response:?}");
            }
        });
    }
    assert!(scripted.connections() > 1);
    assert_within_memory("behind whole responses", &mut site);
}

/// Sends uploads to a backend server that follows `script` as soon as it has read the head of one.
fn assert_contained_beside_uploads(name: &str, script: Script) {
    const LARGE: usize = 4_000_000;
    const SMALL: usize = 10_000;
    const UPLOADS: usize = 100;
    let mut site = start_site("body = 4194304\n");
    let scripted = site.script_backend("accounts-0", SLOTS, script);
    let [near, far] = ["accounts-0", "boards-0"].map(|host| site.node(host).caller_address());
    wait_until("the other daemon knows the backend server", || {
        call(&far, "accounts").kind != "no-upstream"
    });
    let before = scripted.requests();
    let statuses = std::thread::scope(|scope| {
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|_| scope.spawn(|| upload(&far, "accounts", LARGE)))
            .collect();
        for _ in 0..OTHER_CALLS {
            assert_eq!(upload(&near, "boards", SMALL), 200, "{name}: another call");
        }
        let statuses = uploads.into_iter().map(|upload| upload.join());
        let statuses = statuses.map(|status| status.expect("the upload returns"));
        statuses.collect::<Vec<u16>>()
    });
    let count = |status: u16| statuses.iter().filter(|other| **other == status).count();
    println!(
        "{name}: {} arrived, {} answered 502, {} refused",
        scripted.requests() - before,
        count(502),
        count(503)
    );
    assert!(scripted.requests() > before, "{name}: no upload arrived");
    // A caller that is still sending may miss the response.
    let unexpected = |status: &&u16| ![0, 502, 503, 504].contains(*status);
    let unexpected: Vec<_> = statuses.iter().filter(unexpected).collect();
    assert!(unexpected.is_empty(), "{name}: {unexpected:?}");
    assert_within_memory(name, &mut site);
}

#[test]
fn an_endless_head_beside_uploads_holds_up_no_other_call() {
    let script = Script::endless("HTTP/1.1 200 OK\r\n", "x: y\r\n");
    assert_contained_beside_uploads("head beside uploads", script);
}

#[test]
fn an_endless_body_beside_uploads_stays_within_the_memory() {
    let script = Script::endless("HTTP/1.1 200 OK\r\n\r\n", "content");
    assert_contained_beside_uploads("body beside uploads", script);
}

#[test]
fn endless_chunks_beside_uploads_stay_within_the_memory() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let script = Script::endless(head, "8\r\ncontents\r\n");
    assert_contained_beside_uploads("chunks beside uploads", script);
}

#[test]
fn bytes_that_are_no_response_beside_uploads_hold_up_no_other_call() {
    let script = Script::endless("", "\u{1}junk\r\n");
    assert_contained_beside_uploads("junk beside uploads", script);
}

#[test]
fn frames_without_end_of_another_daemon_hold_up_no_other_call() {
    const CALLS: usize = 8;
    /// An HTTP/2 frame of a kind that is to be ignored.
    const IGNORED: [u8; 9] = [0, 0, 0, 0x55, 0, 0, 0, 0, 0];
    let mut site = start_site("");
    let proxies = HostProxies::start();
    site.add_proxied_host(&proxies, "carts-0", &ServicePlan::new("carts", 1, &[]))
        .expect("the host starts");
    let far = site.node("boards-0").caller_address();
    wait_until("the other daemon reaches the backend server", || {
        call(&far, "carts").status == 200
    });
    proxies.peers.flood_responses(IGNORED.repeat(4_000).leak());
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..CALLS)
            .map(|_| scope.spawn(|| call(&far, "carts")))
            .collect();
        for service in ["boards", "accounts"].repeat(OTHER_CALLS / 2) {
            let other = call(&far, service);
            assert_eq!(other.status, 200, "{service}: {other:?}");
        }
        for call in calls {
            let failed = call.join().expect("the call returns");
            assert!([502, 503, 504].contains(&failed.status), "{failed:?}");
        }
    });
    proxies.peers.heal();
    wait_until("calls are answered again", || {
        call(&far, "carts").status == 200
    });
    assert_within_memory("frames", &mut site);
}

#[test]
fn the_largest_body_that_the_settings_allow_is_passed_on_whole() {
    const LARGEST: usize = 12 * 1_024 * 1_024;
    let mut site = start_site(&format!("body = {LARGEST}\n"));
    let far = site.node("boards-0").caller_address();
    assert_eq!(upload(&far, "accounts", LARGEST), 200);
    assert_eq!(upload(&far, "accounts", LARGEST + 1), 413);
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
            .map(|_| scope.spawn(|| upload(&far, "accounts", LARGE)))
            .collect();
        for _ in 0..OTHER_CALLS {
            assert_eq!(
                upload(&far, "accounts", SMALL),
                200,
                "small bodies get through"
            );
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

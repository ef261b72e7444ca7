//! Requests that crash backend servers, and connections between daemons that stop delivering bytes.

use indigospur_test_support::{
    Call, Direction, HostProxies, Node, Response, ServicePlan, Site, SitePlan, request, wait_until,
};
use std::cell::RefCell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Calls of `/pay` run once at most.
const UNSAFE_PAYMENTS: &str =
    "[[rule]]\nname = \"payments\"\nwhen = { path = \"/pay*\" }\nthen = { idempotent = false }\n";

/// Calls of `/poison` go to three services in turn.
const SPLIT_CALLS: &str = r#"
[[rule]]
name = "split"
when = { path = "/poison*" }
then = { idempotent = false, split = [
    { service = "accounts", weight = 1 },
    { service = "quoting", weight = 1 },
    { service = "payouts", weight = 1 },
] }
"#;

fn start_site(upstreams: usize) -> Site {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", upstreams, &[])],
        ..SitePlan::default()
    };
    Site::start(&plan).expect("the site starts")
}

/// A site of two hosts, each beside one backend server; links to the daemon beside `accounts` lead over
/// the proxies.
fn site_with_proxied_accounts() -> (Site, HostProxies) {
    let proxies = HostProxies::start();
    let plan = SitePlan {
        services: vec![ServicePlan::new("quoting", 1, &[])],
        rules: UNSAFE_PAYMENTS.to_owned(),
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    let accounts = ServicePlan::new("accounts", 1, &[]);
    site.add_proxied_host(&proxies, "accounts-0", &accounts)
        .expect("the host starts");
    site.wait_until_ready();
    (site, proxies)
}

/// Starts backend servers again that have ended; returns their number. A response that says that one is
/// gone may come before its process has ended.
fn restart_lost_backends(site: &mut Site, response: &Response) -> usize {
    let nodes = RefCell::new(&mut site.nodes);
    let is_any_lost = || {
        let mut nodes = nodes.borrow_mut();
        nodes.iter_mut().any(|node| node.backend.has_ended())
    };
    if response.kind == "backend-gone" {
        wait_until("a backend server has ended", is_any_lost);
    }
    let mut restarted = 0;
    for node in &mut site.nodes {
        if node.backend.has_ended() {
            restarted += 1;
            node.restart_backend().expect("the backend server starts");
        }
    }
    restarted
}

#[test]
fn a_request_that_crashes_backend_servers_is_blocked_and_others_are_served() {
    let mut site = start_site(3);
    let poison_call = Call {
        service: "accounts",
        path: "/poison?fail=crash",
        ..Call::default()
    };
    let harmless_call = Call {
        service: "accounts",
        path: "/innocent",
        ..Call::default()
    };
    let mut crashes = 0;
    for _ in 0..12 {
        let entry = site.nodes[0].caller_address();
        let response = request(&entry, &poison_call);
        assert_ne!(response.status, 200);
        crashes += restart_lost_backends(&mut site, &response);
        site.wait_until_ready();
        assert_eq!(request(&entry, &harmless_call).status, 200);
        if response.kind == "poisonous" {
            break;
        }
    }
    assert!(crashes <= 4, "{crashes} crashes");
    wait_until("every daemon refuses the poison request", || {
        site.nodes
            .iter()
            .all(|node| request(&node.caller_address(), &poison_call).kind == "poisonous")
    });
    assert!(site.nodes.iter_mut().all(|node| !node.backend.has_ended()));
    assert_eq!(
        request(&site.nodes[1].caller_address(), &harmless_call).status,
        200
    );
}

/// Guards against counting the crashes of a request by service where its rule splits it over several.
#[test]
fn a_request_that_crashes_backend_servers_of_several_services_is_blocked() {
    let services = ["accounts", "quoting", "payouts"];
    let plan = SitePlan {
        services: services.map(|name| ServicePlan::new(name, 2, &[])).into(),
        rules: SPLIT_CALLS.to_owned(),
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    let poison_call = Call {
        service: "accounts",
        path: "/poison?fail=crash",
        ..Call::default()
    };
    let mut crashes = 0;
    for _ in 0..12 {
        let response = request(&site.nodes[0].caller_address(), &poison_call);
        assert_ne!(response.status, 200);
        if response.kind == "poisonous" {
            break;
        }
        crashes += restart_lost_backends(&mut site, &response);
        site.wait_until_ready();
    }
    assert!(crashes <= 4, "{crashes} crashes");
}

/// Guards against popular requests that are refused for good after a backend server went down by itself
/// while it ran only these.
#[test]
fn a_popular_request_is_served_after_a_backend_server_went_down_and_up_by_turns() {
    const CALLERS: usize = 8;
    let mut site = start_site(2);
    let popular = Call {
        service: "accounts",
        path: "/rates?work=400",
        ..Call::default()
    };
    let entries: Vec<String> = site.nodes.iter().map(Node::caller_address).collect();
    let is_flapping = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (entry, call, is_flapping) = (&entries[caller % 2], &popular, &is_flapping);
            scope.spawn(move || {
                while is_flapping.load(Ordering::Relaxed) {
                    request(entry, call);
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        for _ in 0..5 {
            std::thread::sleep(Duration::from_millis(300));
            let node = &mut site.nodes[0];
            node.backend.kill();
            node.restart_backend().expect("the backend server starts");
        }
        is_flapping.store(false, Ordering::Relaxed);
    });
    site.wait_until_ready();
    wait_until("every daemon serves the popular request", || {
        entries
            .iter()
            .all(|entry| (0..4).all(|_| request(entry, &popular).status == 200))
    });
}

/// Guards against a popular request that is refused for ten minutes once its only backend server went down
/// by itself six times or more.
#[test]
fn a_popular_request_is_served_after_its_only_backend_server_went_down_and_up_by_turns() {
    let mut site = start_site(1);
    let popular = Call {
        service: "accounts",
        path: "/rates?work=400",
        ..Call::default()
    };
    let entry = site.nodes[0].caller_address();
    assert_eq!(request(&entry, &popular).status, 200);
    let is_flapping = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while is_flapping.load(Ordering::Relaxed) {
                    request(&entry, &popular);
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        for _ in 0..10 {
            std::thread::sleep(Duration::from_millis(300));
            let node = &mut site.nodes[0];
            node.backend.kill();
            std::thread::sleep(Duration::from_millis(1_000));
            node.restart_backend().expect("the backend server starts");
        }
        is_flapping.store(false, Ordering::Relaxed);
    });
    site.wait_until_ready();
    wait_until("the daemon serves the popular request", || {
        (0..4).all(|_| request(&entry, &popular).status == 200)
    });
}

#[test]
fn a_silent_connection_is_replaced_and_its_host_stays_in_use() {
    let (site, proxies) = site_with_proxied_accounts();
    let entry = site.nodes[0].caller_address();
    let call = Call {
        service: "accounts",
        path: "/x",
        ..Call::default()
    };
    for _ in 0..3 {
        assert_eq!(request(&entry, &call).status, 200);
        assert!(proxies.peers.blackhole_open_connections() > 0);
        let response = request(&entry, &call);
        assert!(
            response.status == 200 || response.kind == "link-lost",
            "{response:?}"
        );
        assert_eq!(request(&entry, &call).status, 200);
    }
}

fn unsafe_call(path: &str) -> Call<'_> {
    Call {
        service: "accounts",
        path,
        ..Call::default()
    }
}

fn runs_of(site: &Site, path: &str) -> usize {
    let call = format!("GET {path}");
    let runs = site.nodes.iter().flat_map(Node::journal);
    runs.filter(|run| run["call"] == *call).count()
}

/// The other daemon receives nothing of the call, so it is sent again on a new connection. It must not
/// be repeated on the grounds that it may be repeated: its rule says that it may not.
#[test]
fn a_call_sent_on_a_silent_connection_runs_once_and_is_answered() {
    let (site, proxies) = site_with_proxied_accounts();
    let entry = site.nodes[0].caller_address();
    for number in 0..5 {
        assert!(proxies.peers.blackhole_open_connections() > 0);
        proxies.peers.silence_open_connections();
        let path = format!("/pay?number={number}");
        let response = request(&entry, &unsafe_call(&path));
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(runs_of(&site, &path), 1, "runs of {path}");
    }
}

/// The other daemon has received the call, and its answer gets lost: the call may have run.
#[test]
fn a_call_whose_answer_is_lost_on_a_silent_connection_does_not_run_again() {
    let (site, proxies) = site_with_proxied_accounts();
    let entry = site.nodes[0].caller_address();
    for number in 0..3 {
        let path = format!("/pay?number={number}");
        proxies.peers.blackhole_direction(Direction::ToClient);
        let response = request(&entry, &unsafe_call(&path));
        proxies.peers.heal();
        assert_ne!(response.status, 200);
        assert_ne!(response.ran, "no");
        assert!(runs_of(&site, &path) <= 1, "runs of {path}");
        let next = format!("/pay?next={number}");
        wait_until("calls are answered again", || {
            request(&entry, &unsafe_call(&next)).status == 200
        });
    }
}

//! Signals to a daemon's process, and standard output that is closed.

use indigospur_test_support::{
    Call, ServicePlan, Site, SitePlan, program_path, request, wait_until,
};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

// Without a handler, SIGHUP ends the daemon and cuts off the calls that it has read.
#[test]
fn sighup_cuts_off_no_call_in_flight() {
    let plan = SitePlan {
        services: vec![ServicePlan::new("accounts", 2, &[])],
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan).expect("the site starts");
    let entry = site.nodes[0].caller_address();
    let call = Call {
        service: "accounts",
        path: "/x?work=300",
        ..Call::default()
    };
    let runs = || -> usize { site.nodes.iter().map(|node| node.journal().len()).sum() };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| request(&entry, &call)))
            .collect();
        wait_until("all calls run", || runs() == 8);
        site.nodes.iter().for_each(|node| node.daemon.signal("HUP"));
        for thread in threads {
            assert_eq!(thread.join().expect("no panic").status, 200);
        }
    });
    assert!(site.nodes.iter_mut().all(|node| !node.daemon.has_ended()));
}

// `println!` panics once the read end of standard output is closed.
#[test]
fn a_daemon_whose_standard_output_is_closed_serves_and_stops() {
    let settings = std::env::temp_dir().join(format!("indigospur-{}.toml", std::process::id()));
    let address = "127.0.0.1:0";
    let text = format!(
        "[host]\nname = \"a\"\ndata-centre = \"z\"\nregion = \"r\"\n[log]\naddress = \"127.0.0.1:1\"\n\
         [listen]\ncalls = \"{address}\"\npeers = \"{address}\"\nadmin = \"{address}\"\n"
    );
    std::fs::write(&settings, text).expect("the folder for temporary files is writable");
    let mut child = Command::new(program_path("indigospurd"))
        .arg("--settings")
        .arg(&settings)
        .env("RUST_LOG", "info")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    drop(child.stdout.take());
    let log = child.stderr.take().expect("standard error is piped");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    let start_line = lines.find(|line| line.contains("serving"));
    let start_line = start_line.expect("the daemon starts");
    for field in ["commit=", "sources=", "profile="] {
        assert!(start_line.contains(field), "{start_line}");
    }
    let id = child.id().to_string();
    let _ = Command::new("kill").args(["-s", "TERM", &id]).status();
    lines.for_each(drop);
    let status = child.wait().expect("the daemon was started");
    let _ = std::fs::remove_file(&settings);
    assert_eq!(status.code(), Some(0));
}

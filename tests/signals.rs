//! What reaches a daemon's process from outside: signals, and standard output that nobody reads.

use indigospur_test_support::{
    Call, ServicePlan, Site, SitePlan, program_path, request, wait_until,
};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

// A daemon without a handler for SIGHUP ended and cut what it had read.
#[test]
fn a_hangup_signal_in_the_middle_of_calls_cuts_none_of_them() {
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
        let sent: Vec<_> = (0..8)
            .map(|_| scope.spawn(|| request(&entry, &call)))
            .collect();
        wait_until("all run", || runs() == 8);
        site.nodes.iter().for_each(|node| node.daemon.signal("HUP"));
        for thread in sent {
            assert_eq!(thread.join().expect("no panic").status, 200);
        }
    });
    assert!(site.nodes.iter_mut().all(|node| !node.daemon.has_ended()));
}

// `println!` panics where the reader of standard output is gone.
#[test]
fn a_daemon_whose_standard_output_nobody_reads_serves_and_stops() {
    let settings = std::env::temp_dir().join(format!("indigospur-{}.toml", std::process::id()));
    let any = "127.0.0.1:0";
    let text = format!(
        "[host]\nname = \"a\"\ndata-centre = \"z\"\nregion = \"r\"\n[log]\naddress = \"127.0.0.1:1\"\n\
         [listen]\ncalls = \"{any}\"\npeers = \"{any}\"\nadmin = \"{any}\"\n"
    );
    std::fs::write(&settings, text).expect("the folder can be written");
    let mut child = Command::new(program_path("indigospurd"))
        .arg("--settings")
        .arg(&settings)
        .env("RUST_LOG", "info")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    drop(child.stdout.take());
    let log = child.stderr.take().expect("it is piped");
    let mut lines = BufReader::new(log).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("serving")));
    let number = child.id().to_string();
    let _ = Command::new("kill").args(["-s", "TERM", &number]).status();
    lines.for_each(drop);
    let status = child.wait().expect("it was started");
    let _ = std::fs::remove_file(&settings);
    assert_eq!(status.code(), Some(0));
}

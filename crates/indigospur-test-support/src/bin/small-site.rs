//! Demonstration site on this machine: builds the programs, starts the platform's log and a chain
//! of three services with their daemons, publishes a rule set, makes calls and prints the
//! responses.

use indigospur_test_support::{Call, Response, ServicePlan, Site, SitePlan, request};
use std::io;
use std::process::{Command, ExitCode};

const RULES: &str = include_str!("../../../../examples/lisbon/rules.toml");

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("small-site: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> io::Result<()> {
    build_programs()?;
    let plan = SitePlan {
        services: vec![
            ServicePlan::new("quoting", 2, &["contracts/terms"]),
            ServicePlan::new("contracts", 3, &["accounts/history"]),
            ServicePlan::new("accounts", 2, &[]),
        ],
        rules: RULES.to_owned(),
        ..SitePlan::default()
    };
    let mut site = Site::start(&plan)?;
    println!(
        "started the log, {} daemons and as many backend servers",
        site.nodes.len()
    );
    let entry = site.nodes[0].caller_address();
    let quote = Call {
        service: "quoting",
        path: "/quote/7",
        customer: "norte-motores",
        ..Call::default()
    };
    print_response("a quote, three services deep", &request(&entry, &quote));
    let sign = Call {
        service: "contracts",
        path: "/sign",
        key: "sign-0001",
        ..Call::default()
    };
    print_response("a signature", &request(&entry, &sign));
    print_response(
        "the same signature again",
        &request(&site.nodes[4].caller_address(), &sign),
    );
    println!(
        "    runs of that signature at all backend servers: {}",
        site.count_runs("sign-0001")
    );
    site.node("accounts-0").backend.kill();
    print_response(
        "a quote after a backend server was killed",
        &request(&entry, &quote),
    );
    site.log.kill();
    print_response("a quote without the log", &request(&entry, &quote));
    print_response(
        "an unknown service",
        &request(
            &entry,
            &Call {
                service: "nowhere",
                path: "/",
                ..Call::default()
            },
        ),
    );
    println!("\ntry it: curl -H 'indigospur-service: quoting' http://{entry}/quote/7");
    Ok(())
}

fn build_programs() -> io::Result<()> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(cargo)
        .args(["build", "--quiet", "--workspace", "--bins"])
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err(io::Error::other(
            "cargo build of the workspace's programs failed",
        ))
    }
}

fn print_response(title: &str, response: &Response) {
    println!("{title}\n    {} {}", response.status, response.body.trim());
}

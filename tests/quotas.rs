//! Quotas of workspaces over daemons that are real processes.

use indigospur_rules::KeyDigest;
use indigospur_test_support::{Node, ServicePlan, Site, SitePlan, get, send_raw, wait_until};
use std::time::Instant;

const RATE: f64 = 20.0;
const BURST: f64 = 10.0;
/// Requests sent, many times what the quota admits in the time.
const REQUESTS: usize = 600;

fn rules() -> String {
    let key = KeyDigest::of(b"norte-key").to_text();
    format!(
        "[[workspace]]\nname = \"norte\"\nkeys = [\"{key}\"]\nrate = {RATE:.1}\nburst = {BURST:.1}\n\
         [[rule]]\nname = \"quotes\"\nwhen.service = \"quoting\"\n"
    )
}

fn send(node: &Node) -> String {
    let text = "GET /quote HTTP/1.1\r\nhost: quoting\r\nconnection: close\r\n\
                Authorization: Bearer norte-key\r\n\r\n";
    send_raw(&node.caller_address(), text.as_bytes())
}

/// Guards against daemons that each give the whole quota, and refusals that name no time to return.
#[test]
fn a_quota_is_kept_over_all_daemons_and_refusals_name_a_time() {
    let plan = SitePlan {
        services: vec![ServicePlan::new("quoting", 3, &[])],
        rules: rules(),
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("the site starts");
    for node in &site.nodes {
        wait_until("the rules are in force", || {
            get(&node.admin_address(), "/rules").body == plan.rules
        });
    }
    wait_until("a request is admitted", || {
        send(&site.nodes[0]).starts_with("HTTP/1.1 200 ")
    });
    let started = Instant::now();
    let (mut admitted, mut refused) = (0.0, 0);
    for index in 0..REQUESTS {
        let answer = send(&site.nodes[index % site.nodes.len()]);
        if answer.starts_with("HTTP/1.1 200 ") {
            admitted += 1.0;
        } else {
            assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
            assert!(
                answer.to_lowercase().contains("\nretry-after: "),
                "{answer}"
            );
            refused += 1;
        }
    }
    // The bound of five seconds also holds for fewer, and in proportion for more.
    let windows = (started.elapsed().as_secs_f64() / 5.0).ceil().max(1.0);
    let bound = ((RATE * 5.0 + BURST) * 1.1 + 20.0) * windows;
    assert!(admitted <= bound, "{admitted} admitted, bound {bound}");
    assert!(refused > 0);
    let metrics = get(&site.nodes[0].admin_address(), "/metrics").body;
    assert!(
        metrics.contains("indigospur_quota_requests_total"),
        "{metrics}"
    );
}

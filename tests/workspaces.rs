//! Callers that identify themselves by key, with the built-in HTTP conventions.

use indigospur_rules::KeyDigest;
use indigospur_test_support::{Node, ServicePlan, Site, SitePlan, get, send_raw, wait_until};
use std::path::PathBuf;

const NORTE: &str = "Authorization: Bearer norte-key\r\n";
const OTHER: &str = "Authorization: Bearer other-key\r\n";

/// Rules by which only calls made for norte match at `accounts`.
fn rules(keys: &[&str]) -> String {
    let digests = keys
        .iter()
        .map(|key| KeyDigest::of(key.as_bytes()).to_text());
    let digests: Vec<String> = digests.collect();
    format!(
        "unmatched = \"refuse\"\n[[workspace]]\nname = \"norte\"\nclass = \"background\"\nkeys = {digests:?}\n\
         [[rule]]\nname = \"quotes\"\nwhen.service = \"quoting\"\nthen.class = \"protected\"\n\
         [[rule]]\nname = \"health\"\nwhen.path = \"/health\"\nthen.public = true\n\
         [[rule]]\nname = \"accounts\"\nwhen = {{ service = \"accounts\", customer = \"norte\" }}\n"
    )
}

fn start_site(rules: String) -> Site {
    start_with_logs(rules, None)
}

fn start_with_logs(rules: String, logs: Option<PathBuf>) -> Site {
    let plan = SitePlan {
        services: vec![
            ServicePlan::new("quoting", 1, &["accounts/history"]),
            ServicePlan::new("accounts", 1, &[]),
        ],
        rules,
        logs,
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("the site starts");
    for node in &site.nodes {
        wait_until("the rules are in force", || {
            get(&node.admin_address(), "/rules").body == plan.rules
        });
    }
    site
}

/// Sends a GET to a service; `headers` are complete header lines.
fn send(node: &Node, service: &str, path: &str, headers: &str) -> String {
    let text =
        format!("GET {path} HTTP/1.1\r\nhost: {service}\r\nconnection: close\r\n{headers}\r\n");
    send_raw(&node.caller_address(), text.as_bytes())
}

#[test]
fn a_request_with_a_known_key_runs_with_the_calls_below_it_and_any_other_is_refused() {
    let site = start_site(rules(&["norte-key"]));
    for node in &site.nodes {
        let answer = send(node, "quoting", "/quote", NORTE);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(
            answer.ends_with("quoting/quote(accounts/history())"),
            "{answer}"
        );
        for (headers, reason) in [
            ("", "has no key"),
            (OTHER, "is not known"),
            ("Authorization: Token norte-key\r\n", "malformed"),
            (
                "indigospur-customer: norte\r\nindigospur-workspace: norte\r\n",
                "has no key",
            ),
        ] {
            let answer = send(node, "quoting", "/quote", headers);
            assert!(answer.starts_with("HTTP/1.1 401 "), "{headers}: {answer}");
            for part in [
                "indigospur-kind: unauthenticated\r\n",
                "indigospur-ran: no\r\n",
                "www-authenticate: Bearer\r\n",
                reason,
            ] {
                assert!(answer.contains(part), "{part}: {answer}");
            }
        }
    }
    assert_eq!(site.nodes[0].journal().len(), 2);
    assert_eq!(site.nodes[1].journal().len(), 2);
}

/// A customer that the caller makes up would match rules, and share the queues, of that workspace.
#[test]
fn only_a_key_makes_a_caller_the_customer_of_its_workspace() {
    let site = start_site(rules(&["norte-key"]));
    let node = &site.nodes[0];
    let forged = "indigospur-customer: norte\r\n";
    let answer = send(node, "accounts", "/x", forged);
    assert!(answer.contains("indigospur-kind: no-route"), "{answer}");
    let answer = send(
        node,
        "accounts",
        "/x",
        &format!("{NORTE}indigospur-customer: sul\r\n"),
    );
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let answer = send(node, "accounts", "/health", &format!("{OTHER}{forged}"));
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

#[test]
fn a_removed_key_is_refused_once_the_new_rule_set_is_in_force() {
    let site = start_site(rules(&["norte-key"]));
    let (text, code) = site
        .publish(&rules(&["norte-key-2"]))
        .expect("the tool runs");
    assert_eq!(code, Some(0), "{text}");
    for node in &site.nodes {
        wait_until("the old key is refused", || {
            send(node, "quoting", "/quote", NORTE).starts_with("HTTP/1.1 401 ")
        });
        let added = "Authorization: Bearer norte-key-2\r\n";
        let answer = send(node, "quoting", "/quote", added);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
}

/// A key in a log, a metric, a status page or an answer is known to all who can read those.
#[test]
fn keys_show_nowhere() {
    let folder = std::env::temp_dir().join(format!("indigospur-keys-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
    let site = start_with_logs(rules(&["norte-key"]), Some(folder.clone()));
    let malformed = "Authorization: Basic malformed-key\r\n";
    let mut texts = Vec::new();
    for node in &site.nodes {
        for headers in [NORTE, OTHER, malformed] {
            texts.push(send(node, "quoting", "/quote", headers));
            texts.push(send(node, "accounts", "/health", headers));
        }
        for path in ["/metrics", "/status", "/rules"] {
            texts.push(get(&node.admin_address(), path).body);
        }
    }
    let metrics = &texts[6];
    assert!(metrics.contains("kind=\"unauthenticated\""), "{metrics}");
    for node in &site.nodes {
        let path = node.daemon_log().expect("logs are kept");
        let log = || std::fs::read_to_string(&path).unwrap_or_default();
        wait_until(
            "the reasons of the refusals are logged with their rule",
            || {
                let log = log();
                let reasons = [
                    "key of the request is not known",
                    "credential of the request is malformed",
                ];
                log.contains("rule=quotes reason=")
                    && reasons.iter().all(|reason| log.contains(reason))
            },
        );
        texts.push(log());
    }
    for text in &texts {
        for key in ["norte-key", "other-key", "malformed-key"] {
            assert!(!text.contains(key), "{text}");
        }
    }
    drop(site);
    let _ = std::fs::remove_dir_all(&folder);
}

/// A request that was refused on arrival has caused no attempt, so that it counts as sent for the first time
/// when it comes back.
#[test]
fn a_request_that_was_refused_on_arrival_does_not_count_as_sent() {
    let again = "[[rule]]\nname = \"again\"\nwhen.service = \"quoting\"\nwhen.attempt-at-least = 1\n\
                 then.service = \"accounts\"\n";
    let rules = rules(&["norte-key"]).replacen("[[rule]]", &format!("{again}[[rule]]"), 1);
    let site = start_site(rules);
    let node = &site.nodes[0];
    let request = "indigospur-request-id: order-1\r\n";
    let refused = send(node, "quoting", "/quote", request);
    assert!(refused.starts_with("HTTP/1.1 401 "), "{refused}");
    let with_key = format!("{request}{NORTE}");
    let first = send(node, "quoting", "/quote", &with_key);
    assert!(first.contains("quoting/quote("), "{first}");
    let second = send(node, "quoting", "/quote", &with_key);
    assert!(second.contains("accounts/quote("), "{second}");
}

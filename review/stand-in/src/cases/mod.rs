//! The cases. Each returns what broke its rule.

mod crashes;
mod flapping;
mod late_copy;
mod left_again;
mod pipelined;
mod queued;
mod revoked;
mod slow_read;

use crate::record::Record;
use crate::site::Outcome;

pub type Case = fn(&Record, bool) -> Outcome<Vec<String>>;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "late-copy" => Some(late_copy::play),
        "revoked" => Some(revoked::play),
        "queued" => Some(queued::play),
        "slow-read" => Some(slow_read::play),
        "crashes" => Some(crashes::play),
        "flapping" => Some(flapping::play),
        "left-again" => Some(left_again::play),
        "pipelined" => Some(pipelined::play),
        _ => None,
    }
}

/// Formats a configuration with these rows of routes, each without its brackets.
pub fn config(version: u32, routes: &[String], services: &[&str], tenants: &str) -> String {
    let routes: Vec<String> = routes.iter().map(|row| format!("[{row}]")).collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("[\"{name}\",\"/health\",532,\"h1\",false]"))
        .collect();
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\"kind\",\"timeout\",\
         \"target_latency\",\"priority\",\"backends\",\"max_attempts\",\"public\",\"service\"],\"rows\":[{}]}},\
         \"services\":{{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\
         \"idle_timeout\":\"15000ms\"}}{tenants}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A route without a split.
pub fn route(name: &str, prefix: &str, kind: &str, timeout_ms: u32, service: &str) -> String {
    let host = crate::site::HOST;
    format!(
        "\"{name}\",\"{host}\",\"{prefix}\",\"{kind}\",\"{timeout_ms}ms\",\"1500ms\",1,null,2,false,\"{service}\""
    )
}

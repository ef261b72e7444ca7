//! Faults in the environment of the processes: network links, the platform's log, settings files.

use crate::callers::lock;
use crate::faults::{Link, LinkFault, LogFault, SettingsDefect};
use crate::soak::Soak;
use indigospur_test_support::{Direction, FaultProxy, Node, post};
use std::path::Path;
use std::time::Duration;

/// Delay of each chunk of bytes on a delayed link, in each direction.
const LINK_DELAY: Duration = Duration::from_millis(150);
/// Section that is added to a settings file and removed again, with the limit on bodies in bytes.
const BODY_LIMIT: &str = "[limits]\nbody = 262144\n";
/// Size in bytes of a body above `BODY_LIMIT` and below the default limit.
const LARGE_BODY_BYTES: usize = 300_000;

impl Soak {
    pub(crate) fn proxy(&self, index: usize, link: Link) -> &FaultProxy {
        let proxies = &self.proxies[index];
        match link {
            Link::Peers => &proxies.peers,
            Link::Log => &proxies.log,
            Link::Backend => &proxies.backend,
        }
    }

    /// Sets the mode of the log stand-in to the union of the log faults in progress.
    pub(crate) fn set_log_mode(&self) {
        let modes = self.log_faults.iter().map(|fault| match fault {
            LogFault::Down => "\"down\":true",
            LogFault::Slow => "\"delay-ms\":700",
            LogFault::LoseAnswers => "\"lose-answers\":true",
            LogFault::AppendLate => "\"late-ms\":1500",
            LogFault::ExpireRecords => "\"retention-ms\":0",
        });
        let mut modes: Vec<&str> = modes.collect();
        modes.sort_unstable();
        modes.dedup();
        self.site.set_log_mode(&format!("{{{}}}", modes.join(",")));
    }

    /// Adds the limit on bodies to a host's settings file, or removes it; a broken file stays as it
    /// is.
    pub(crate) fn rewrite_settings(&mut self, index: usize, signalled: bool) {
        let host = &mut self.hosts[index];
        if host.settings_faults == 0 {
            host.body_limited = !host.body_limited;
            host.settings_pending = true;
            let node = &self.site.nodes[index];
            let section = if host.body_limited { BODY_LIMIT } else { "" };
            write_settings(
                node.settings_path(),
                &format!("{}{section}", node.settings()),
            );
        }
        if signalled {
            self.signal_daemon(index, "HUP");
        }
    }

    /// Damages or removes the settings file of a host.
    pub(crate) fn break_settings(&mut self, index: usize, defect: SettingsDefect) {
        self.hosts[index].settings_faults += 1;
        self.hosts[index].settings_pending = true;
        let node = &self.site.nodes[index];
        let (path, text) = (node.settings_path(), node.settings());
        match defect {
            SettingsDefect::Empty => write_settings(path, ""),
            SettingsDefect::Truncated => write_settings(path, &text[..text.len() / 2]),
            SettingsDefect::Missing => {
                let _ = std::fs::remove_file(path);
            }
            SettingsDefect::UnknownKey => {
                write_settings(path, &format!("{text}[nobody]\nknows = 1\n"))
            }
        }
    }

    /// Writes the initial settings once no other fault keeps the file broken.
    pub(crate) fn restore_settings(&mut self, index: usize) {
        self.hosts[index].settings_faults -= 1;
        if self.hosts[index].settings_faults == 0 {
            self.hosts[index].body_limited = false;
            let node = &self.site.nodes[index];
            write_settings(node.settings_path(), node.settings());
        }
    }

    /// Stores which settings a daemon applies while its file is broken. Only in rounds of planned
    /// work, since under other faults the answer may take long.
    pub(crate) fn probe_settings(&mut self, index: usize) {
        let node = &self.site.nodes[index];
        self.hosts[index].probed_settings = self
            .planned_only
            .then(|| (node.daemon.id(), limits_body(node)));
    }

    /// Records a daemon that changed its settings while the file was broken.
    pub(crate) fn check_settings(&mut self, index: usize) {
        let node = &self.site.nodes[index];
        let Some((id, Some(before))) = self.hosts[index].probed_settings.take() else {
            return;
        };
        let now = limits_body(node);
        if node.daemon.id() == id && now.is_some_and(|now| now != before) {
            let finding = format!(
                "the daemon of {} changed its limit on bodies while its settings file was broken",
                node.name
            );
            lock(&self.shared.observations).findings.push(finding);
        }
    }

    /// Whether all daemons apply the current contents of their settings files.
    pub(crate) fn settings_applied(&mut self) -> bool {
        let pairs = self.hosts.iter_mut().zip(&self.site.nodes);
        let pending = pairs
            .filter(|(host, _)| host.settings_pending)
            .filter_map(|(host, node)| {
                host.settings_pending = limits_body(node) != Some(host.body_limited);
                host.settings_pending.then_some(())
            });
        pending.count() == 0
    }
}

/// Whether a daemon applies `BODY_LIMIT`; `None` if it does not answer.
fn limits_body(node: &Node) -> Option<bool> {
    let response = post(
        &node.caller_address(),
        "/probe",
        &"x".repeat(LARGE_BODY_BYTES),
    );
    (response.status != 0).then(|| response.kind == "body-too-large")
}

pub(crate) fn apply_link_fault(proxy: &FaultProxy, fault: LinkFault) {
    match fault {
        LinkFault::BlackholeOpen => proxy.silence_open_connections(),
        LinkFault::Blackhole => proxy.blackhole(),
        LinkFault::BlackholeToTarget => proxy.blackhole_direction(Direction::ToTarget),
        LinkFault::BlackholeToClient => proxy.blackhole_direction(Direction::ToClient),
        LinkFault::CloseOpen => proxy.close_open_connections(),
        LinkFault::Delay => proxy.set_delay(LINK_DELAY),
        LinkFault::Refuse => {
            proxy.refuse_connections();
            proxy.close_open_connections();
        }
        LinkFault::Corrupt => proxy.corrupt_responses(),
        LinkFault::FloodInterim => proxy.flood_responses(b"HTTP/1.1 102 Processing\r\n\r\n"),
        LinkFault::FloodBody => proxy.flood_responses(b"HTTP/1.1 200 OK\r\n\r\n"),
    }
}

fn write_settings(path: &Path, text: &str) {
    if let Err(error) = std::fs::write(path, text) {
        eprintln!(
            "soak: cannot write the settings file {}: {error}",
            path.display()
        );
    }
}

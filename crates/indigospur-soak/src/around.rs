//! Faults around the processes: wires, the log, settings files.

use crate::callers::lock;
use crate::faults::{Link, LogTrouble, Spoil, Trouble};
use crate::soak::Soak;
use indigospur_test_support::{Direction, FaultProxy, Node, post};
use std::path::Path;
use std::time::Duration;

/// Delay of a wire, of each piece of bytes each way.
const DELAY: Duration = Duration::from_millis(150);
/// Lines that a settings file gets and loses.
const BOUND: &str = "[limits]\nbody = 2048\n";
/// Size of a body beyond that bound and within the one that holds without it, in bytes.
const LARGE: usize = 3_000;

impl Soak {
    pub(crate) fn wire(&self, place: usize, link: Link) -> &FaultProxy {
        let wires = &self.wires[place];
        match link {
            Link::Peers => &wires.peers,
            Link::Log => &wires.log,
            Link::Backend => &wires.backend,
        }
    }

    pub(crate) fn set_log_mode(&self) {
        let modes = self.log_troubles.iter().map(|trouble| match trouble {
            LogTrouble::Down => "\"down\":true",
            LogTrouble::Slow => "\"delay-ms\":700",
            LogTrouble::LosesAnswers => "\"lose-answers\":true",
            LogTrouble::Late => "\"late-ms\":1500",
            LogTrouble::Forgets => "\"retention-ms\":0",
        });
        let mut modes: Vec<&str> = modes.collect();
        modes.sort_unstable();
        modes.dedup();
        self.site.set_log_mode(&format!("{{{}}}", modes.join(",")));
    }

    /// Changes the bound on bodies in the settings file of a host.
    pub(crate) fn rewrite(&mut self, place: usize, signalled: bool) {
        let host = &mut self.hosts[place];
        if host.spoiled == 0 {
            host.bounded = !host.bounded;
            host.unsure = true;
            let node = &self.site.nodes[place];
            let more = if host.bounded { BOUND } else { "" };
            write_settings(node.settings_path(), &format!("{}{more}", node.settings()));
        }
        if signalled {
            self.send(place, "HUP");
        }
    }

    pub(crate) fn spoil(&mut self, place: usize, spoil: Spoil) {
        self.hosts[place].spoiled += 1;
        self.hosts[place].unsure = true;
        let node = &self.site.nodes[place];
        let (path, text) = (node.settings_path(), node.settings());
        match spoil {
            Spoil::Empty => write_settings(path, ""),
            Spoil::Cut => write_settings(path, &text[..text.len() / 2]),
            Spoil::Missing => {
                let _ = std::fs::remove_file(path);
            }
            Spoil::Unknown => write_settings(path, &format!("{text}[nobody]\nknows = 1\n")),
        }
    }

    /// Writes the settings as they were at first, once no fault spoils them any more.
    pub(crate) fn mend(&mut self, place: usize) {
        self.hosts[place].spoiled -= 1;
        if self.hosts[place].spoiled == 0 {
            self.hosts[place].bounded = false;
            let node = &self.site.nodes[place];
            write_settings(node.settings_path(), node.settings());
        }
    }

    /// What a daemon goes by while its settings file is spoiled; asked where only planned work is
    /// done, since an answer may take long otherwise.
    pub(crate) fn watch_settings(&mut self, place: usize) {
        let node = &self.site.nodes[place];
        self.hosts[place].watched = self
            .planned_only
            .then(|| (node.daemon.id(), is_bounded(node)));
    }

    /// Finds a daemon that did not go on with its settings while the file was spoiled.
    pub(crate) fn check_settings(&mut self, place: usize) {
        let node = &self.site.nodes[place];
        let Some((id, Some(before))) = self.hosts[place].watched.take() else {
            return;
        };
        let now = is_bounded(node);
        if node.daemon.id() == id && now.is_some_and(|now| now != before) {
            let finding = format!("{} left its settings for a spoiled file", node.name);
            lock(&self.shared.observed).findings.push(finding);
        }
    }

    /// Whether all daemons go by their settings files as they are now.
    pub(crate) fn settings_in_force(&mut self) -> bool {
        let pairs = self.hosts.iter_mut().zip(&self.site.nodes);
        let late = pairs
            .filter(|(host, _)| host.unsure)
            .filter_map(|(host, node)| {
                host.unsure = is_bounded(node) != Some(host.bounded);
                host.unsure.then_some(())
            });
        late.count() == 0
    }
}

/// Whether a daemon bounds bodies as a rewritten settings file says; `None` without an answer.
fn is_bounded(node: &Node) -> Option<bool> {
    let answered = post(&node.caller_address(), "/probe", &"x".repeat(LARGE));
    (answered.status != 0).then(|| answered.kind == "body-too-large")
}

pub(crate) fn trouble_wire(wire: &FaultProxy, trouble: Trouble) {
    match trouble {
        Trouble::Silence => {
            wire.blackhole_open_connections();
        }
        Trouble::Cut => wire.blackhole(),
        Trouble::CutThere => wire.blackhole_direction(Direction::ToTarget),
        Trouble::CutBack => wire.blackhole_direction(Direction::ToClient),
        Trouble::Reset => wire.close_open_connections(),
        Trouble::Delay => wire.set_delay(DELAY),
        Trouble::Refuse => {
            wire.refuse_connections();
            wire.close_open_connections();
        }
        Trouble::Garble => wire.corrupt_responses(),
    }
}

fn write_settings(path: &Path, text: &str) {
    if let Err(error) = std::fs::write(path, text) {
        eprintln!("soak: {} can't be written: {error}", path.display());
    }
}

//! Faults around the processes: wires, the log, settings files.

use crate::faults::{Link, LogTrouble, Spoil, Trouble};
use crate::soak::Soak;
use indigospur_test_support::{Way, Wire};
use std::path::Path;
use std::time::Duration;

/// Delay of a wire, of each piece of bytes each way.
const DELAY: Duration = Duration::from_millis(150);

impl Soak {
    pub(crate) fn wire(&self, place: usize, link: Link) -> &Wire {
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

    pub(crate) fn rewrite(&mut self, place: usize, signalled: bool) {
        if self.hosts[place].spoiled == 0 {
            let node = &self.site.nodes[place];
            let poll = 200 + 50 * (self.events.len() % 4);
            let text = node.settings();
            let text = text.replace("poll = \"200ms\"", &format!("poll = \"{poll}ms\""));
            write_settings(node.settings_path(), &text);
        }
        if signalled {
            self.send(place, "HUP");
        }
    }

    pub(crate) fn spoil(&mut self, place: usize, spoil: Spoil) {
        self.hosts[place].spoiled += 1;
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
            let node = &self.site.nodes[place];
            write_settings(node.settings_path(), node.settings());
        }
    }
}

pub(crate) fn trouble_wire(wire: &Wire, trouble: Trouble) {
    match trouble {
        Trouble::Silence => {
            wire.silence();
        }
        Trouble::Cut => wire.cut(),
        Trouble::CutThere => wire.cut_way(Way::There),
        Trouble::CutBack => wire.cut_way(Way::Back),
        Trouble::Reset => wire.reset(),
        Trouble::Delay => wire.delay(DELAY),
        Trouble::Refuse => {
            wire.refuse();
            wire.reset();
        }
        Trouble::Garble => wire.garble(),
    }
}

fn write_settings(path: &Path, text: &str) {
    if let Err(error) = std::fs::write(path, text) {
        eprintln!("soak: {} can't be written: {error}", path.display());
    }
}

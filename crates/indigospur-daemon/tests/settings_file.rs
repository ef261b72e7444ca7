//! A settings file that changes while the daemon runs.

use indigospur_daemon::{Settings, SettingsFile, Unusable};
use std::path::PathBuf;
use std::time::Duration;

const TEXT: &str = "[host]\nname = \"a\"\ndata-centre = \"z\"\nregion = \"r\"\n\
                    [listen]\ncalls = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\n\
                    [limits]\nleave = \"1s\"\n[log]\naddress = \"127.0.0.1:4\"\n";

/// A file of its own, deleted when it is dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str) -> File {
        let name = format!("indigospur-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, TEXT).expect("the folder for temporary files is writable");
        File(path)
    }

    fn open(&self) -> SettingsFile<()> {
        let read = |file: &str, text: &str| Ok((Settings::parse(file, text)?, ()));
        let opened = SettingsFile::open(&self.0.to_string_lossy(), read, &["extra."]);
        opened.expect("it is whole").0
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn values_that_change_are_told_apart_by_whether_they_wait_for_the_next_start() {
    let mut file = File::new("changes").open();
    let text = TEXT
        .replace("1s", "2s")
        .replace("127.0.0.1:1", "127.0.0.1:9");
    let changed = file.take(text).expect("it is whole").expect("it changed");
    assert_eq!(changed.applied, ["limits.leave"]);
    assert_eq!(changed.waiting, ["listen.calls"]);
    assert_eq!(changed.settings.leave, Duration::from_secs(2));
}

// Epochs and fences of one log say nothing of another: keys might run twice.
#[test]
fn a_daemon_that_runs_keys_at_most_once_follows_no_log_to_another_address() {
    let moved = |text: &str| text.replace("127.0.0.1:4", "127.0.0.1:5");
    let mut file = File::new("keyed").open();
    let changed = file.take(moved(TEXT)).expect("it is whole");
    let changed = changed.expect("it changed");
    assert_eq!(changed.waiting, ["log.address"]);
    assert_eq!(changed.applied, Vec::<String>::new());

    let text = format!("{TEXT}[keys]\nat-most-once = false\n");
    let written = File::new("unkeyed");
    std::fs::write(&written.0, &text).expect("the folder is writable");
    let changed = written.open().take(moved(&text)).expect("it is whole");
    assert_eq!(changed.expect("it changed").applied, ["log.address"]);
}

#[test]
fn callers_are_taken_for_at_most_half_of_the_time_of_a_stop() {
    let settings = |limits: &str| {
        let text = TEXT.replace("leave = \"1s\"", limits);
        Settings::parse("settings.toml", &text).expect("it is whole")
    };
    let short = settings("leave = \"10s\"\nshutdown = \"4s\"");
    assert_eq!(short.leave_time(), Duration::from_secs(2));
    let long = settings("leave = \"1s\"\nshutdown = \"4s\"");
    assert_eq!(long.leave_time(), Duration::from_secs(1));
}

#[test]
fn a_file_that_says_the_same_in_other_words_changes_nothing() {
    let mut file = File::new("same").open();
    for text in [
        TEXT.to_owned(),
        format!("# a comment\n{TEXT}"),
        TEXT.replace('\n', "\n\n"),
    ] {
        assert!(file.take(text).expect("it is whole").is_none());
    }
}

#[test]
fn a_file_that_cannot_be_used_is_told_once_and_a_later_good_one_counts() {
    let mut file = File::new("bad").open();
    for bad in [
        "",
        "[host",
        "[limits]\nspeed = 1\n",
        &TEXT[..TEXT.len() / 2],
    ] {
        let told = file.take(bad.to_owned());
        assert!(matches!(told, Err(Unusable::Problems(_))), "{bad}");
        assert!(file.take(bad.to_owned()).expect("it was told").is_none());
    }
    assert!(file.take(TEXT.to_owned()).expect("it is whole").is_none());
    let text = TEXT.replace("1s", "3s");
    let changed = file.take(text).expect("it is whole").expect("it changed");
    assert_eq!(changed.applied, ["limits.leave"]);
}

#[test]
fn a_file_that_is_gone_for_a_while_is_told_once() {
    let written = File::new("gone");
    let mut file = written.open();
    std::fs::remove_file(&written.0).expect("it is there");
    assert!(matches!(file.read_again(), Err(Unusable::Unreadable(_))));
    assert!(file.read_again().expect("it was told").is_none());
    std::fs::write(&written.0, TEXT.replace("1s", "4s")).expect("the folder is writable");
    let changed = file.read_again().expect("it is whole");
    assert_eq!(changed.expect("it changed").applied, ["limits.leave"]);
}

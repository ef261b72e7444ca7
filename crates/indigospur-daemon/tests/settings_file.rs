//! Changes of the settings file while the daemon runs.

use indigospur_daemon::{ReloadError, Settings, SettingsFile};
use std::path::PathBuf;
use std::time::Duration;

const TEXT: &str = "[host]\nname = \"a\"\ndata-centre = \"z\"\nregion = \"r\"\n\
                    [listen]\ncalls = \"127.0.0.1:1\"\npeers = \"127.0.0.1:2\"\nadmin = \"127.0.0.1:3\"\n\
                    [limits]\nleave = \"1s\"\n[log]\naddress = \"127.0.0.1:4\"\n";

/// A settings file in the temporary folder, deleted on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str) -> TempFile {
        let name = format!("indigospur-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, TEXT).expect("the temporary folder is writable");
        TempFile(path)
    }

    fn open(&self) -> SettingsFile<()> {
        let read = |file: &str, text: &str| Ok((Settings::parse(file, text)?, ()));
        let opened = SettingsFile::open(&self.0.to_string_lossy(), read, &["extra."]);
        opened.expect("the settings are valid").0
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn changed_keys_are_split_into_those_applied_at_once_and_those_that_need_a_restart() {
    let mut file = TempFile::new("changes").open();
    let text = TEXT
        .replace("1s", "2s")
        .replace("127.0.0.1:1", "127.0.0.1:9");
    let changed = file
        .update(text)
        .expect("the settings are valid")
        .expect("the settings changed");
    assert_eq!(changed.applied, ["limits.leave"]);
    assert_eq!(changed.deferred, ["listen.calls"]);
    assert_eq!(changed.settings.shutdown_delay, Duration::from_secs(2));
}

// Epochs and fences of one log are not valid in another: a daemon that moved could run keys twice.
#[test]
fn the_log_address_needs_a_restart_if_keys_run_at_most_once() {
    let moved = |text: &str| text.replace("127.0.0.1:4", "127.0.0.1:5");
    let mut file = TempFile::new("keyed").open();
    let changed = file.update(moved(TEXT)).expect("the settings are valid");
    let changed = changed.expect("the settings changed");
    assert_eq!(changed.deferred, ["log.address"]);
    assert_eq!(changed.applied, Vec::<String>::new());

    let text = format!("{TEXT}[keys]\nat-most-once = false\n");
    let temp_file = TempFile::new("unkeyed");
    std::fs::write(&temp_file.0, &text).expect("the temporary folder is writable");
    let changed = temp_file
        .open()
        .update(moved(&text))
        .expect("the settings are valid");
    assert_eq!(
        changed.expect("the settings changed").applied,
        ["log.address"]
    );
}

#[test]
fn a_stopping_daemon_takes_calls_for_at_most_half_of_the_shutdown_time() {
    let settings = |limits: &str| {
        let text = TEXT.replace("leave = \"1s\"", limits);
        Settings::parse("settings.toml", &text).expect("the settings are valid")
    };
    let short = settings("leave = \"10s\"\nshutdown = \"4s\"");
    assert_eq!(short.effective_shutdown_delay(), Duration::from_secs(2));
    let long = settings("leave = \"1s\"\nshutdown = \"4s\"");
    assert_eq!(long.effective_shutdown_delay(), Duration::from_secs(1));
}

#[test]
fn changed_comments_and_blank_lines_change_no_settings() {
    let mut file = TempFile::new("same").open();
    for text in [
        TEXT.to_owned(),
        format!("# a comment\n{TEXT}"),
        TEXT.replace('\n', "\n\n"),
    ] {
        assert!(file.update(text).expect("the settings are valid").is_none());
    }
}

#[test]
fn an_invalid_file_is_reported_once_and_a_later_valid_one_is_applied() {
    let mut file = TempFile::new("bad").open();
    for bad in [
        "",
        "[host",
        "[limits]\nspeed = 1\n",
        &TEXT[..TEXT.len() / 2],
    ] {
        let result = file.update(bad.to_owned());
        assert!(matches!(result, Err(ReloadError::Invalid(_))), "{bad}");
        assert!(
            file.update(bad.to_owned())
                .expect("the same state is not reported again")
                .is_none()
        );
    }
    assert!(
        file.update(TEXT.to_owned())
            .expect("the settings are valid")
            .is_none()
    );
    let text = TEXT.replace("1s", "3s");
    let changed = file
        .update(text)
        .expect("the settings are valid")
        .expect("the settings changed");
    assert_eq!(changed.applied, ["limits.leave"]);
}

#[test]
fn a_missing_file_is_reported_once_and_a_later_valid_one_is_applied() {
    let temp_file = TempFile::new("gone");
    let mut file = temp_file.open();
    std::fs::remove_file(&temp_file.0).expect("the file exists");
    assert!(matches!(file.reload(), Err(ReloadError::Unreadable(_))));
    assert!(
        file.reload()
            .expect("the same state is not reported again")
            .is_none()
    );
    std::fs::write(&temp_file.0, TEXT.replace("1s", "4s"))
        .expect("the temporary folder is writable");
    let changed = file.reload().expect("the settings are valid");
    assert_eq!(
        changed.expect("the settings changed").applied,
        ["limits.leave"]
    );
}

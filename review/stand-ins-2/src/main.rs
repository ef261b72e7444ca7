//! Scenarios of the second independent review. `review-case NAME FOLDER` plays one, writes `record.txt`
//! in FOLDER, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in its environment it plays without the disruption.

mod clients;
mod daemon;
mod http;
mod leaving;
mod quota;
mod record;
mod store;
mod upstream;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a scenario ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// The scenario did not get as far as the disruption.
    NotRun,
}

/// What a scenario runs with.
pub struct Scene {
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::create(&format!("{folder}/record.txt"));
    let Ok(record) = record else {
        eprintln!("{folder}/record.txt can't be written");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        eprintln!("the temporary folder can't be written");
        return ExitCode::from(2);
    }
    let scene = Scene {
        record,
        folder: temporary.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match name.as_str() {
        "leaving" => leaving::play(&scene),
        "quota" => quota::play_added(&scene),
        "split" => quota::play_split(&scene),
        _ => Verdict::NotRun,
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    scene.record.say(&format!("{verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}

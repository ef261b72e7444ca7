//! Plays the scripted cases of the review: `review-case NAME FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run.

mod cases;
mod http;
mod record;
mod site;
mod store;
mod upstream;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case {name}, trouble {trouble}"));
    let outcome = match cases::find(name) {
        Some(case) => case(&record, trouble),
        None => Err(format!("there is no case {name}")),
    };
    let (code, text) = match outcome {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("the rule was broken: {}", broken.join("; "))),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}

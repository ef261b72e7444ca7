//! A short soak run with a fixed seed.

use indigospur_soak::{Soak, SoakOptions};

#[test]
fn a_few_rounds_of_random_faults_break_nothing() {
    let options = SoakOptions {
        seed: 1,
        seconds: 12,
        processes: 16,
        logs: None,
    };
    let report = Soak::start(&options).expect("the site starts").run();
    assert!(report.rounds >= 2, "{report}");
    assert!(report.breaches.is_empty(), "{report}");
}

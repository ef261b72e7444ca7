//! A round of what backend servers name in their answers. In a process of its own: soaks of one process
//! share a loopback address, at which their daemons bind their ports again after a restart.

use indigospur_soak::{Fault, ScheduledFault, Soak, SoakOptions, StopMethod};

/// Limits are named and leaving is said in answers, in series, while daemons restart and reload.
#[test]
fn what_backend_servers_name_in_their_answers_is_kept_to_through_planned_work() {
    let options = SoakOptions {
        seed: 1,
        seconds: 0,
        processes: 16,
        logs: None,
    };
    let stop = Fault::StopDaemon(StopMethod::Terminate);
    let faults = [
        (Fault::LimitRate(5), 0, 0, 0),
        (Fault::LimitRate(0), 3, 100, 0),
        (stop, 0, 2_000, 500),
        (Fault::Reload(5), 3, 2_200, 500),
        (stop, 3, 4_500, 500),
        (Fault::Publish, 2, 5_000, 500),
        (Fault::LeaveInAnswers, 1, 500, 0),
        (Fault::LeaveInAnswers, 6, 5_500, 0),
        (Fault::Reload(1), 6, 6_000, 500),
    ];
    let round =
        faults.map(|(fault, host, at, duration)| ScheduledFault::new(fault, host, at, duration));
    let report = Soak::start(&options)
        .expect("the site starts")
        .replay(&[round.to_vec()]);
    assert!(report.breaches.is_empty(), "{report}");
}

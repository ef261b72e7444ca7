//! Simulates overload in virtual time and compares goodput and recovery time with baselines. Prints
//! a table for each scenario, writes goodput over time to `target/overload-N.svg`, and checks the
//! goals; exits with status 1 if one is missed.

use indigospur_bench::Table;
use indigospur_bench::overload::{Policy, RunSummary, Scenario, lisbon, simulate, tasmania};
use plotters::prelude::*;
use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

const SEED: u64 = 1;
/// Share of capacity up to which an offered load is expected to be served without loss.
const MAX_UTILISATION: f64 = 0.9;
// Goals for the last policy in `Policy::ALL`, which has the daemons' default limit.
const MIN_GOODPUT: f64 = 0.95;
const MAX_WASTED: f64 = 0.03;
const MAX_ATTEMPTS: f64 = 1.1;
const MAX_RECOVERY_AFTER_TRIGGER: Duration = Duration::from_secs(2);

fn scenarios() -> Vec<Scenario> {
    let steady = |name, services| Scenario::steady(name, services);
    let three_deep = || lisbon(3);
    vec![
        steady("steady 70 %", three_deep()),
        Scenario {
            surge: 2.0,
            ..steady("surge 2 times", three_deep())
        },
        Scenario {
            surge: 4.0,
            ..steady("surge 4 times", three_deep())
        },
        Scenario {
            surge: 10.0,
            ..steady("surge 10 times", three_deep())
        },
        Scenario {
            slowdown: 5,
            ..steady("deep service 5 times slower", three_deep())
        },
        Scenario {
            surge: 4.0,
            resends: 3,
            ..steady("surge 4 times, callers resend 3 times", three_deep())
        },
        Scenario {
            surge: 4.0,
            slowdown: 5,
            resends: 10,
            ..steady("all three, 10 resends", three_deep())
        },
        Scenario {
            surge: 4.0,
            slowdown: 5,
            resends: 3,
            ..steady("all three, six deep", lisbon(6))
        },
        Scenario {
            surge: 10.0,
            slowdown: 5,
            resends: 3,
            ..steady("all three, Tasmania", tasmania())
        },
    ]
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let mut missed = Vec::new();
    for (index, scenario) in scenarios().iter().enumerate() {
        println!(
            "\n{}: capacity {:.0}/s, {:.0}/s in the trigger",
            scenario.name,
            scenario.capacity(),
            scenario.capacity_in_trigger()
        );
        let mut table = Table::new(&[
            "policy",
            "goodput",
            "protected",
            "small before/in",
            "small p99 ms before/in",
            "wasted",
            "attempts",
            "recovery s",
            "after trigger s",
        ]);
        let mut timelines = Vec::new();
        for policy in Policy::ALL {
            let summary = simulate(scenario, policy, SEED);
            table.add_row(&format_row(policy, &summary));
            if policy == Policy::ALL[Policy::ALL.len() - 1] {
                check_goals(scenario, &summary, &mut missed);
            }
            timelines.push((policy, summary.timeline));
        }
        println!("{}", table.render());
        plot_timelines(
            &format!("target/overload-{index}.svg"),
            scenario,
            &timelines,
        )?;
    }
    println!(
        "\ngoals missed by {}: {}",
        Policy::ALL[Policy::ALL.len() - 1].name(),
        missed.len()
    );
    missed.iter().for_each(|message| println!("  {message}"));
    Ok(if missed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn format_row(policy: Policy, summary: &RunSummary) -> Vec<String> {
    let percent = |share: f64| format!("{:.1} %", share * 100.0);
    let seconds = |time: Option<Duration>| {
        time.map_or("never".to_owned(), |time| {
            format!("{:.1}", time.as_secs_f64())
        })
    };
    let millis = |micros: u64| micros / 1_000;
    vec![
        policy.name().to_owned(),
        percent(summary.goodput),
        percent(summary.protected),
        format!(
            "{} / {}",
            percent(summary.small[0]),
            percent(summary.small[1])
        ),
        format!(
            "{} / {}",
            millis(summary.small_p99[0]),
            millis(summary.small_p99[1])
        ),
        percent(summary.wasted),
        format!("{:.2}", summary.attempts),
        seconds(summary.recovery),
        seconds(summary.recovery_after),
    ]
}

fn check_goals(scenario: &Scenario, summary: &RunSummary, missed: &mut Vec<String>) {
    let mut goal = |met: bool, message: String| {
        if !met {
            missed.push(format!("{}: {message}", scenario.name));
        }
    };
    goal(
        summary.goodput >= MIN_GOODPUT,
        format!("goodput {:.3} under {MIN_GOODPUT}", summary.goodput),
    );
    let usable_capacity = MAX_UTILISATION * scenario.capacity_in_trigger();
    if scenario.protected_demand() <= usable_capacity {
        goal(
            summary.protected >= 0.9999,
            format!("protected {:.4} under 1", summary.protected),
        );
    }
    goal(
        summary.wasted <= MAX_WASTED,
        format!("wasted {:.3} over {MAX_WASTED}", summary.wasted),
    );
    goal(
        summary.attempts <= MAX_ATTEMPTS,
        format!("attempts {:.2} over {MAX_ATTEMPTS}", summary.attempts),
    );
    let recovered = summary
        .recovery_after
        .is_some_and(|time| time <= MAX_RECOVERY_AFTER_TRIGGER);
    goal(
        recovered,
        format!("recovery {:?} after the trigger", summary.recovery_after),
    );
    if scenario.protected_demand() + scenario.small_demand() <= usable_capacity {
        goal(
            summary.small[1] >= 0.999,
            format!("small customers {:.4} under 0.999", summary.small[1]),
        );
    }
}

fn plot_timelines(
    path: &str,
    scenario: &Scenario,
    timelines: &[(Policy, Vec<f64>)],
) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all("target")?;
    let area = SVGBackend::new(path, (900, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = scenario.total_duration().as_secs_f64();
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds, 0.0..scenario.capacity() * 1.1)?;
    chart.configure_mesh().disable_mesh().draw()?;
    for (index, (_, timeline)) in timelines.iter().enumerate() {
        let points = timeline
            .iter()
            .enumerate()
            .map(|(half_seconds, rate)| (half_seconds as f64 / 2.0, *rate));
        chart.draw_series(LineSeries::new(
            points,
            Palette99::pick(index).stroke_width(2),
        ))?;
    }
    area.present()?;
    Ok(())
}

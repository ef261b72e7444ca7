//! The order of pipelined requests: which may start, which response is sent next, and when reading
//! stops.

use indigospur_relay::{Concurrency, MAX_PIPELINED, NextResponse, Pipeline, RequestNumber};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;

fn add_all(pipeline: &mut Pipeline, methods: &[&str]) {
    for method in methods {
        let added = pipeline.add(Concurrency::of_method(method), false);
        assert!(added.is_some(), "{method}");
    }
}

fn start_all(pipeline: &mut Pipeline) -> Vec<RequestNumber> {
    std::iter::from_fn(|| pipeline.start_next(true)).collect()
}

#[test]
fn only_safe_methods_run_concurrently() {
    let cases = [
        (&["GET"; 6][..], &[0, 1, 2, 3, 4, 5][..]),
        (&["GET", "HEAD", "OPTIONS", "TRACE"], &[0, 1, 2, 3]),
        (&["POST", "GET"], &[0]),
        (&["GET", "POST", "GET"], &[0]),
        (&["GET", "GET", "PUT", "GET"], &[0, 1]),
        (&["DELETE", "DELETE"], &[0]),
        (&["get", "GET"], &[0]),
        (&["GET", "get"], &[0]),
    ];
    for (methods, started) in cases {
        let mut pipeline = Pipeline::new();
        add_all(&mut pipeline, methods);
        assert_eq!(start_all(&mut pipeline), started, "{methods:?}");
        assert_eq!(pipeline.running(), started.len(), "{methods:?}");
    }
}

#[test]
fn an_unsafe_request_starts_once_all_before_it_have_finished() {
    let mut pipeline = Pipeline::new();
    add_all(&mut pipeline, &["GET", "GET", "POST", "GET", "GET"]);
    assert_eq!(start_all(&mut pipeline), [0, 1]);
    pipeline.finish(1);
    assert!(start_all(&mut pipeline).is_empty());
    pipeline.finish(0);
    assert_eq!(start_all(&mut pipeline), [2]);
    pipeline.finish(2);
    assert_eq!(start_all(&mut pipeline), [3, 4]);
}

#[test]
fn without_room_for_responses_only_the_first_request_starts() {
    let mut pipeline = Pipeline::new();
    add_all(&mut pipeline, &["GET", "GET", "POST"]);
    assert_eq!(pipeline.start_next(false), Some(0));
    assert_eq!(pipeline.start_next(false), None);
    pipeline.finish(0);
    assert_eq!(pipeline.start_next(false), None);
    assert!(pipeline.send_next().is_some());
    pipeline.sent();
    assert_eq!(pipeline.start_next(false), Some(1));
}

#[test]
fn a_response_waits_for_those_before_it_and_for_the_one_that_is_being_sent() {
    let mut pipeline = Pipeline::new();
    add_all(&mut pipeline, &["GET", "GET"]);
    start_all(&mut pipeline);
    pipeline.finish(1);
    assert_eq!(pipeline.send_next(), None);
    pipeline.finish(0);
    let next = |number| {
        Some(NextResponse {
            number,
            closes: false,
        })
    };
    assert_eq!(pipeline.send_next(), next(0));
    assert_eq!(pipeline.send_next(), None);
    pipeline.sent();
    assert_eq!(pipeline.send_next(), next(1));
    pipeline.sent();
    assert!(pipeline.is_empty() && pipeline.reads_on());
}

/// Sends all responses. Returns which of them close the connection.
fn send_all(pipeline: &mut Pipeline) -> Vec<bool> {
    let mut closes = Vec::new();
    loop {
        while let Some(number) = pipeline.start_next(true) {
            pipeline.finish(number);
        }
        let Some(next) = pipeline.send_next() else {
            return closes;
        };
        pipeline.sent();
        closes.push(next.closes);
    }
}

#[test]
fn nothing_is_read_behind_a_request_that_closes_the_connection() {
    for refused in [false, true] {
        let mut pipeline = Pipeline::new();
        add_all(&mut pipeline, &["GET", "POST"]);
        if refused {
            assert_eq!(pipeline.add_refused(), Some(2));
        } else {
            assert_eq!(pipeline.add(Concurrency::Safe, true), Some(2));
        }
        assert!(!pipeline.reads_on());
        assert_eq!(pipeline.add(Concurrency::Safe, false), None);
        assert_eq!(pipeline.add_refused(), None);
        assert_eq!(send_all(&mut pipeline), [false, false, true]);
        assert!(!pipeline.reads_on());
        assert_eq!(pipeline.add(Concurrency::Safe, false), None);
    }
}

#[test]
fn a_stop_closes_the_connection_after_the_last_request_that_was_read() {
    let mut pipeline = Pipeline::new();
    add_all(&mut pipeline, &["GET", "GET", "GET"]);
    pipeline.stop();
    assert!(!pipeline.reads_on());
    assert_eq!(send_all(&mut pipeline), [false, false, true]);
}

#[test]
fn a_stop_after_the_last_response_was_begun_closes_the_connection_after_the_next_request() {
    let mut pipeline = Pipeline::new();
    pipeline.stop();
    assert!(pipeline.reads_on(), "an idle connection reads on");
    add_all(&mut pipeline, &["GET"]);
    start_all(&mut pipeline);
    pipeline.finish(0);
    assert!(pipeline.send_next().is_some_and(|next| !next.closes));
    pipeline.stop();
    assert!(
        pipeline.reads_on(),
        "the response without the close is begun"
    );
    add_all(&mut pipeline, &["GET"]);
    pipeline.stop();
    assert!(!pipeline.reads_on());
    pipeline.sent();
    assert_eq!(send_all(&mut pipeline), [true]);
}

#[test]
fn the_number_of_unanswered_requests_is_bounded() {
    let mut pipeline = Pipeline::new();
    add_all(&mut pipeline, &["GET"; MAX_PIPELINED]);
    assert!(!pipeline.reads_on());
    assert_eq!(pipeline.add(Concurrency::Safe, false), None);
    start_all(&mut pipeline);
    pipeline.finish(0);
    assert!(pipeline.send_next().is_some());
    assert!(!pipeline.reads_on(), "the first one is not sent yet");
    pipeline.sent();
    assert!(pipeline.reads_on());
}

#[test]
fn a_request_that_does_not_run_cannot_finish() {
    let mut pipeline = Pipeline::new();
    add_all(&mut pipeline, &["GET"]);
    pipeline.finish(0);
    pipeline.finish(7);
    pipeline.sent();
    assert_eq!(pipeline.send_next(), None);
    assert_eq!(pipeline.start_next(true), Some(0));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Add {
        alone: bool,
        closes: bool,
    },
    AddRefused,
    Start {
        room: bool,
    },
    /// Finishes the running request at this position, counted around.
    Finish(usize),
    Send,
    Sent,
    Stop,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (prop::bool::weighted(0.2), prop::bool::weighted(0.02))
            .prop_map(|(alone, closes)| Step::Add { alone, closes }),
        1 => prop::bool::weighted(0.2).prop_map(|refused| if refused { Step::AddRefused } else { Step::Send }),
        10 => prop::bool::weighted(0.9).prop_map(|room| Step::Start { room }),
        10 => any::<usize>().prop_map(Step::Finish),
        8 => Just(Step::Send),
        8 => Just(Step::Sent),
        1 => Just(Step::Stop),
    ];
    prop::collection::vec(step, 1..300)
}

/// What a connection did, beside the pipeline that decides.
#[derive(Default)]
struct Model {
    /// Whether each request that was read runs alone.
    alone: Vec<bool>,
    refused: BTreeSet<RequestNumber>,
    running: BTreeSet<RequestNumber>,
    finished: BTreeSet<RequestNumber>,
    /// Number of responses sent or being sent.
    begun: RequestNumber,
    sending: bool,
    closed: bool,
    /// Whether nothing may be read behind the last request.
    last_read: bool,
}

impl Model {
    fn check_start(&self, number: RequestNumber) -> Result<(), TestCaseError> {
        let is_alone = |number: &RequestNumber| self.alone[*number as usize];
        prop_assert!(!self.running.contains(&number) && !self.finished.contains(&number));
        prop_assert!(
            !self.running.iter().any(is_alone),
            "{number} starts beside an unsafe request"
        );
        if is_alone(&number) {
            prop_assert!(self.running.is_empty(), "{number} does not run alone");
            prop_assert!((0..number).all(|before| self.finished.contains(&before)));
        }
        let skipped =
            (0..number).find(|before| is_alone(before) && !self.finished.contains(before));
        prop_assert_eq!(skipped, None, "{} overtakes an unsafe request", number);
        Ok(())
    }

    fn apply(&mut self, pipeline: &mut Pipeline, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Add { alone, closes } => {
                let concurrency = if alone {
                    Concurrency::Alone
                } else {
                    Concurrency::Safe
                };
                let reads_on = pipeline.reads_on();
                let added = pipeline.add(concurrency, closes);
                prop_assert_eq!(added.is_some(), reads_on);
                self.check_added(added, alone, closes)?;
            }
            Step::AddRefused => {
                let added = pipeline.add_refused();
                self.check_added(added, false, true)?;
                if let Some(number) = added {
                    self.refused.insert(number);
                    self.finished.insert(number);
                }
            }
            Step::Start { room } => {
                if let Some(number) = pipeline.start_next(room) {
                    let first = self.begun - u64::from(self.sending);
                    prop_assert!(room || number == first, "{number} starts without room");
                    self.check_start(number)?;
                    self.running.insert(number);
                }
            }
            Step::Finish(position) => {
                let count = self.running.len().max(1);
                if let Some(number) = self.running.iter().nth(position % count).copied() {
                    pipeline.finish(number);
                    self.running.remove(&number);
                    self.finished.insert(number);
                }
            }
            Step::Send => {
                if let Some(next) = pipeline.send_next() {
                    prop_assert!(!self.sending && !self.closed);
                    prop_assert_eq!(next.number, self.begun, "responses are in order");
                    prop_assert!(self.finished.contains(&next.number));
                    self.begun += 1;
                    self.sending = true;
                    self.closed = next.closes;
                    let is_last = self.begun == self.alone.len() as u64;
                    prop_assert!(is_last || !next.closes, "only the last one closes");
                }
            }
            Step::Sent => {
                pipeline.sent();
                self.sending = false;
            }
            Step::Stop => {
                pipeline.stop();
                let has_unsent = self.begun < self.alone.len() as u64;
                prop_assert!(!has_unsent || !pipeline.reads_on());
                self.last_read |= has_unsent;
            }
        }
        let unsent = self.alone.len() as u64 - self.begun + u64::from(self.sending);
        prop_assert!(unsent <= MAX_PIPELINED as u64);
        prop_assert_eq!(pipeline.is_empty(), unsent == 0);
        prop_assert_eq!(pipeline.running(), self.running.len());
        Ok(())
    }

    fn check_added(
        &mut self,
        added: Option<RequestNumber>,
        alone: bool,
        closes: bool,
    ) -> Result<(), TestCaseError> {
        let Some(number) = added else { return Ok(()) };
        prop_assert!(
            !self.last_read && !self.closed,
            "{number} is behind the last"
        );
        prop_assert_eq!(number, self.alone.len() as u64);
        self.alone.push(alone);
        self.last_read = closes;
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_order_of_completions_keeps_the_rules(steps in steps()) {
        let mut pipeline = Pipeline::new();
        let mut model = Model::default();
        for step in steps {
            model.apply(&mut pipeline, step)?;
        }
        // All that were read are answered, whatever has happened.
        while !pipeline.is_empty() {
            model.apply(&mut pipeline, Step::Sent)?;
            model.apply(&mut pipeline, Step::Start { room: true })?;
            model.apply(&mut pipeline, Step::Finish(0))?;
            model.apply(&mut pipeline, Step::Send)?;
        }
        prop_assert_eq!(model.begun, model.alone.len() as u64);
        prop_assert_eq!(model.finished.len(), model.alone.len());
        prop_assert!(!model.last_read || model.closed, "the last one closes");
    }
}

//! A source that is restored from earlier copies is followed although offsets are given out again.

use indigospur_publish::{Cursor, Position};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

#[test]
fn answers_move_the_position_only_within_the_latest_era() {
    // Name, positions of the reads and of their answers in the order of arrival, and then the
    // resulting position and how many answers told of a restore.
    let cases = [
        (
            "the newest state, then changes",
            vec![(None, at(1, 5)), (Some(at(1, 5)), at(1, 7))],
            (Some(at(1, 7)), 0),
        ),
        (
            "a late answer of the same era",
            vec![
                (None, at(1, 5)),
                (Some(at(1, 5)), at(1, 7)),
                (None, at(1, 5)),
            ],
            (Some(at(1, 7)), 0),
        ),
        (
            "an answer in the next era from an offset of the last one",
            vec![(None, at(1, 5)), (Some(at(1, 5)), at(2, 5))],
            (None, 1),
        ),
        (
            "the newest state in the next era at a lower offset",
            vec![(None, at(1, 5)), (None, at(2, 3))],
            (Some(at(2, 3)), 1),
        ),
        (
            "a late answer of the last era",
            vec![
                (None, at(1, 5)),
                (None, at(2, 3)),
                (Some(at(1, 5)), at(1, 9)),
            ],
            (Some(at(2, 3)), 1),
        ),
        (
            "a late answer in this era from an offset of the last one",
            vec![
                (None, at(1, 5)),
                (None, at(2, 3)),
                (Some(at(1, 5)), at(2, 9)),
            ],
            (Some(at(2, 3)), 1),
        ),
        (
            "a late answer of the last era while the newest state has to be read",
            vec![
                (None, at(1, 5)),
                (Some(at(1, 5)), at(2, 5)),
                (None, at(1, 9)),
            ],
            (None, 1),
        ),
        (
            "two restores in series",
            vec![
                (None, at(1, 5)),
                (None, at(2, 3)),
                (Some(at(2, 3)), at(3, 4)),
            ],
            (None, 2),
        ),
    ];
    for (name, answers, expected) in cases {
        let mut cursor = Cursor::default();
        let restores = answers
            .into_iter()
            .filter(|(from, next)| cursor.advance(*from, *next))
            .count();
        assert_eq!((cursor.position(), restores), expected, "{name}");
    }
}

#[test]
fn only_the_present_position_expires() {
    let mut cursor = Cursor::default();
    cursor.advance(None, at(1, 5));
    cursor.expire(Some(at(1, 4)));
    assert_eq!(cursor.position(), Some(at(1, 5)));
    cursor.expire(Some(at(1, 5)));
    assert_eq!(cursor.position(), None);
}

#[derive(Clone, Debug)]
enum Step {
    Publish,
    /// The last records are lost; the operator writes all of them again, or only the newest one.
    Restore {
        lost: usize,
        all: bool,
    },
    /// The source answers a read; the answer arrives later.
    Read,
    /// One of the answers arrives.
    Deliver(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Publish),
        (1..4_usize, any::<bool>()).prop_map(|(lost, all)| Step::Restore { lost, all }),
        Just(Step::Read),
        (0..8_usize).prop_map(Step::Deliver),
    ]
}

/// The answer to a read: the versions that it holds and the position after them, or that the position
/// is not held.
struct ReadAnswer {
    from: Option<Position>,
    result: Option<(Vec<u64>, Position)>,
}

#[derive(Default)]
struct Model {
    era: u64,
    log: Vec<u64>,
    published: u64,
    cursor: Cursor,
    in_force: u64,
    answers: Vec<ReadAnswer>,
}

impl Model {
    fn take(&mut self, step: &Step) {
        match step {
            Step::Publish => {
                self.published += 1;
                self.log.push(self.published);
            }
            Step::Restore { lost, all } => {
                let kept = self.log.len().saturating_sub(*lost);
                let lost = self.log.split_off(kept);
                let again = if *all {
                    0
                } else {
                    lost.len().saturating_sub(1)
                };
                self.log.extend(&lost[again..]);
                self.era += 1;
            }
            Step::Read => self.read(),
            Step::Deliver(index) if !self.answers.is_empty() => {
                let index = index % self.answers.len();
                self.deliver(index);
            }
            Step::Deliver(_) => {}
        }
    }

    fn read(&mut self) {
        let from = self.cursor.position();
        let end = at(self.era, self.log.len() as u64);
        let result = match from {
            None => Some((self.log.last().copied().into_iter().collect(), end)),
            Some(from) if from.offset > end.offset => None,
            Some(from) => Some((self.log[from.offset as usize..].to_vec(), end)),
        };
        self.answers.push(ReadAnswer { from, result });
    }

    fn deliver(&mut self, index: usize) {
        let ReadAnswer { from, result } = self.answers.remove(index);
        match result {
            None => self.cursor.expire(from),
            Some((versions, next)) => {
                self.cursor.advance(from, next);
                self.in_force = versions.into_iter().fold(self.in_force, u64::max);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, rng_seed: RngSeed::Fixed(20), ..ProptestConfig::default() })]

    /// Two reads reach the newest version after any series of publications, restores and late
    /// answers: the first may show that the source was restored.
    #[test]
    fn the_newest_version_is_reached_after_any_series_of_restores(
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut model = Model::default();
        for step in &steps {
            model.take(step);
        }
        for _ in 0..2 {
            model.read();
            model.deliver(model.answers.len() - 1);
        }
        prop_assert_eq!(model.in_force, model.published);
    }
}

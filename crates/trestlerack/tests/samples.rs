//! Every token of a sample has its true version, streams are complete or reported as broken, and groups
//! complete exactly once.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::for_seeds;
use trestlerack::connection::{StreamReassembler, TokenChunk};
use trestlerack::request::{GroupAction, GroupDriver, GroupEvent, GroupSettings, SampleAssembler, SampleError};
use trestlerack::{Name, Timestamp};

/// The true version and engine of each token.
type TokenOrigins = Vec<(u64, Name)>;

fn chunk(offset: u32, tokens: u32, version: Option<u64>) -> TokenChunk {
    let text = (offset..offset + tokens).map(|index| format!("{index} ")).collect();
    TokenChunk { offset, tokens, text, version, incarnation: "i".into(), finish_reason: None }
}

/// Streams a sample over several attempts, on engines that swap weights, break off, and repeat, skip or
/// do not label tokens.
fn stream_attempts(
    random: &mut Pcg64Mcg,
    assembler: &mut SampleAssembler,
    expected: &mut TokenOrigins,
    min_version: u64,
) {
    for attempt in 0..random.random_range(1..5) {
        let engine: Name = format!("engine-{}", random.random_range(0..3)).into();
        assembler.start_attempt(engine.clone(), "obihiro".into(), format!("owner-{attempt}").into());
        let mut version = random.random_range(0..6);
        for _ in 0..random.random_range(0..10) {
            if random.random_ratio(1, 5) {
                version += 1;
            }
            let received = assembler.tokens();
            let offset = match random.random_range(0..6) {
                0 => received.saturating_sub(random.random_range(0..4)),
                1 => received + random.random_range(0..3),
                _ => received,
            };
            let tokens = random.random_range(1..5);
            let label = random.random_ratio(9, 10).then_some(version);
            match assembler.accept(&chunk(offset, tokens, label)) {
                Ok(()) if offset == received => {
                    assert!(version >= min_version);
                    expected.extend((0..tokens).map(|_| (version, engine.clone())));
                }
                Ok(()) => assert!(offset < received, "only a duplicate chunk is ignored"),
                Err(SampleError::MissingTokens { at }) => assert_eq!((at, offset > received), (received, true)),
                Err(SampleError::MissingVersion) => assert_eq!(label, None),
                Err(SampleError::TooOld { version }) => assert!(version < min_version),
            }
        }
    }
}

#[test]
fn each_token_is_in_exactly_one_range_with_its_true_version_and_engine() {
    for_seeds(2_000, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let min_version = random.random_range(0..4);
        let mut assembler = SampleAssembler::new(min_version);
        let mut expected = TokenOrigins::new();
        stream_attempts(&mut random, &mut assembler, &mut expected, min_version);
        let (text, tokens, ranges) = assembler.finish();
        let words: Vec<u32> = text.split_whitespace().map(|word| word.parse().unwrap()).collect();
        assert_eq!(words, (0..tokens).collect::<Vec<_>>(), "the text is complete and in order");
        assert_eq!(expected.len(), tokens as usize);
        let mut actual = TokenOrigins::new();
        for range in &ranges {
            assert_eq!(range.from as usize, actual.len(), "ranges are contiguous");
            actual.extend((range.from..range.to).map(|_| (range.version, range.engine.clone())));
        }
        assert_eq!(actual, expected);
    });
}

#[test]
fn stream_parts_are_returned_in_order_once_or_the_gap_is_reported() {
    for_seeds(1_000, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut reassembler = StreamReassembler::new(8);
        let mut out = Vec::new();
        let mut arrivals: Vec<u64> = (0..40).collect();
        for _ in 0..random.random_range(0..30) {
            let at = random.random_range(0..39);
            arrivals.swap(at, at + 1);
        }
        arrivals.extend([3, 5]);
        let lost = random.random_ratio(1, 2).then(|| random.random_range(0..30));
        let mut is_reported = false;
        for sequence in arrivals.into_iter().filter(|sequence| Some(*sequence) != lost) {
            match reassembler.accept(sequence, sequence) {
                Ok(ready) => out.extend(ready),
                Err(_) => is_reported = true,
            }
        }
        assert_eq!(out, (0..out.len() as u64).collect::<Vec<_>>(), "in order and once");
        match lost {
            None => assert_eq!(out.len(), 40),
            Some(missing) => assert!(is_reported && out.len() as u64 == missing, "the gap is reported"),
        }
    });
}

#[test]
fn a_group_completes_once_with_every_sample_despite_failures() {
    for_seeds(500, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = GroupSettings { max_attempts: 1_000, ..GroupSettings::default() };
        let mut driver = GroupDriver::new(settings, 4);
        let mut running: Vec<(usize, u32)> = Vec::new();
        let mut done = [false; 4];
        let mut completions = 0;
        let mut event = GroupEvent::Begin;
        for step in 0..5_000 {
            for action in driver.handle(Timestamp(step * 50), &event, || true) {
                match action {
                    GroupAction::Start { index, attempt, .. } => running.push((index, attempt)),
                    GroupAction::Cancel { index, attempt } => running.retain(|entry| *entry != (index, attempt)),
                    GroupAction::Complete => completions += 1,
                    GroupAction::GiveUp => panic!("no sample uses up its attempts"),
                }
            }
            event = match running.is_empty() || random.random_ratio(1, 2) {
                true => GroupEvent::Tick,
                false => {
                    let (index, attempt) = running.swap_remove(random.random_range(0..running.len()));
                    if random.random_ratio(1, 3) {
                        done[index] = true;
                        GroupEvent::Finished { index, attempt }
                    } else {
                        GroupEvent::Failed { index, attempt }
                    }
                }
            };
        }
        assert_eq!((completions, done), (1, [true; 4]));
        assert!(running.is_empty(), "nothing is left running");
    });
}

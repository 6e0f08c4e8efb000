//! Every sample names the versions that made it, and an answer is whole or reported broken.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::for_seeds;
use trestlerack::connection::{StreamReassembler, TokenChunk};
use trestlerack::request::{GroupAction, GroupDriver, GroupEvent, GroupSettings, SampleAssembler, SampleError};
use trestlerack::{Name, Timestamp};

/// The true maker of each token: version and engine, as the engine itself knows them.
type Truth = Vec<(u64, Name)>;

fn chunk(offset: u32, tokens: u32, version: Option<u64>) -> TokenChunk {
    let text = (offset..offset + tokens).map(|index| format!("{index} ")).collect();
    TokenChunk { offset, tokens, text, version, incarnation: "i".into(), finish_reason: None }
}

/// Streams over several attempts on engines that swap, break, repeat, skip and forget to label.
fn stream(random: &mut Pcg64Mcg, assembler: &mut SampleAssembler, truth: &mut Truth, min_version: u64) {
    for attempt in 0..random.random_range(1..5) {
        let engine: Name = format!("engine-{}", random.random_range(0..3)).into();
        assembler.start_attempt(engine.clone(), "obihiro".into(), format!("owner-{attempt}").into());
        let mut version = random.random_range(0..6);
        for _ in 0..random.random_range(0..10) {
            if random.random_ratio(1, 5) {
                version += 1;
            }
            let held = assembler.tokens();
            let offset = match random.random_range(0..6) {
                0 => held.saturating_sub(random.random_range(0..4)),
                1 => held + random.random_range(0..3),
                _ => held,
            };
            let tokens = random.random_range(1..5);
            let label = random.random_ratio(9, 10).then_some(version);
            match assembler.accept(&chunk(offset, tokens, label)) {
                Ok(()) if offset == held => {
                    assert!(version >= min_version);
                    truth.extend((0..tokens).map(|_| (version, engine.clone())));
                }
                Ok(()) => assert!(offset < held, "only a repeated chunk is ignored"),
                Err(SampleError::MissingTokens { at }) => assert_eq!((at, offset > held), (held, true)),
                Err(SampleError::UnnamedVersion) => assert_eq!(label, None),
                Err(SampleError::TooOld { version }) => assert!(version < min_version),
            }
        }
    }
}

#[test]
fn each_token_is_named_by_exactly_one_range_with_its_true_maker() {
    for_seeds(2_000, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let min_version = random.random_range(0..4);
        let mut assembler = SampleAssembler::new(min_version);
        let mut truth = Truth::new();
        stream(&mut random, &mut assembler, &mut truth, min_version);
        let (text, tokens, ranges) = assembler.finish();
        let words: Vec<u32> = text.split_whitespace().map(|word| word.parse().unwrap()).collect();
        assert_eq!(words, (0..tokens).collect::<Vec<_>>(), "the text is whole and in order");
        assert_eq!(truth.len(), tokens as usize);
        let mut named = Truth::new();
        for range in &ranges {
            assert_eq!(range.from as usize, named.len(), "ranges follow each other without gaps");
            named.extend((range.from..range.to).map(|_| (range.version, range.engine.clone())));
        }
        assert_eq!(named, truth);
    });
}

#[test]
fn parts_of_a_stream_come_out_in_order_once_or_the_gap_is_reported() {
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
fn a_group_completes_once_with_every_sample_whatever_fails() {
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
                    GroupAction::GiveUp => panic!("attempts are not used up"),
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

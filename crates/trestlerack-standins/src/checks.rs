//! Checks of what a trainer received, from the tokens themselves.

use crate::tokens::{ParsedToken, parse};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use trestlerack::request::{Sample, VersionRange};

/// What a trainer found in the samples that it received.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Findings {
    /// Samples that were asked for.
    pub expected: usize,
    /// Samples that came.
    pub delivered: usize,
    /// Samples that never came.
    pub lost: usize,
    /// Samples that came more than once.
    pub doubled: usize,
    /// Samples made outside the campaign's places.
    pub outside: usize,
    /// Samples over the staleness bound, by the versions in the tokens themselves.
    pub stale: usize,
    /// Samples with tokens whose version is not named, or named wrongly.
    pub misnamed: usize,
    /// Samples that lack tokens or have some twice.
    pub broken: usize,
    /// Steps whose bytes changed when they were read again.
    pub changed: usize,
    /// Age of each sample in versions.
    pub ages: Vec<u64>,
}

/// What a trainer asked for.
pub struct Expected<'a> {
    /// Ids of the samples.
    pub ids: &'a BTreeSet<String>,
    /// Zones in which they may be made.
    pub zones: &'a BTreeSet<String>,
    /// Trainer's version at the step.
    pub consume_version: u64,
    /// Staleness bound in versions.
    pub staleness: u64,
}

impl Findings {
    /// Returns whether a promise broke.
    pub fn is_broken(&self) -> bool {
        let faults = [self.lost, self.doubled, self.outside, self.stale, self.misnamed, self.broken, self.changed];
        faults.iter().any(|count| *count > 0)
    }

    /// Checks the samples of one step.
    pub fn check_step(&mut self, expected: &Expected<'_>, samples: &[Sample]) {
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for sample in samples {
            *seen.entry(sample.id.as_ref()).or_default() += 1;
            self.check_sample(expected, sample);
        }
        self.expected += expected.ids.len();
        self.delivered += samples.len();
        self.lost += expected.ids.iter().filter(|id| !seen.contains_key(id.as_str())).count();
        self.doubled += seen.values().map(|count| count - 1).sum::<usize>();
        self.doubled += seen.keys().filter(|id| !expected.ids.contains(**id)).count();
    }

    fn check_sample(&mut self, expected: &Expected<'_>, sample: &Sample) {
        let Some(tokens) = parse(&sample.text) else {
            self.broken += 1;
            return;
        };
        let in_order = tokens.iter().enumerate().all(|(index, token)| token.index as usize == index);
        let is_whole = in_order && tokens.len() == sample.tokens as usize && !tokens.is_empty();
        self.broken += usize::from(!is_whole);
        let is_named = tokens.iter().all(|token| is_named(token, &sample.versions));
        self.misnamed += usize::from(!is_named);
        let is_outside = sample.versions.iter().any(|range| !expected.zones.contains(range.zone.as_ref()));
        self.outside += usize::from(is_outside);
        let oldest = tokens.iter().map(|token| token.version.unwrap_or(0)).min().unwrap_or(0);
        let age = expected.consume_version.saturating_sub(oldest);
        self.stale += usize::from(age > expected.staleness);
        self.ages.push(age);
    }
}

fn is_named(token: &ParsedToken, ranges: &[VersionRange]) -> bool {
    let mut covering = ranges.iter().filter(|range| (range.from..range.to).contains(&token.index));
    let named = covering.next();
    let is_right =
        named.is_some_and(|range| Some(range.version) == token.version && range.engine.as_ref() == token.engine);
    is_right && covering.next().is_none()
}

//! Who gives way when what is held nears its bound.
//!
//! Large new bodies are refused first, by the ledger. Then comes the sender that holds most for its
//! progress, then the reply of the slowest reader that holds most. Small holders are never chosen.

use super::SMALL_BYTES;
use std::time::Duration;

/// Share of the bound from which senders give way and fewer runs are started.
const PRESSED_SHARE: f64 = 0.75;

/// Runs at once where that share is reached; they fall to one at the bound.
const MOST_PRESSED_RUNS: usize = 64;

/// Age from which a sender may be refused, so that its progress is known.
const SENDER_AGE: Duration = Duration::from_millis(500);

/// Time for which a reader takes nothing before its reply may be cut: longer than a lost packet takes.
const READER_PAUSE: Duration = Duration::from_secs(1);

/// A sender whose body is being read.
#[derive(Clone, Copy, Debug)]
pub struct SenderView {
    /// Its connection.
    pub id: u64,
    /// Bytes that are held for it.
    pub held: usize,
    /// Bytes that came.
    pub received: usize,
    /// Time since the head of its request.
    pub age: Duration,
}

/// A reader whose reply is being written.
#[derive(Clone, Copy, Debug)]
pub struct ReaderView {
    /// Its connection.
    pub id: u64,
    /// Bytes that are held for it.
    pub held: usize,
    /// Time for which it has taken nothing.
    pub pause: Duration,
}

/// Returns the sender that holds most for its progress.
pub fn sender_to_refuse(senders: &[SenderView]) -> Option<u64> {
    let may_go = |sender: &&SenderView| sender.held > SMALL_BYTES && sender.age >= SENDER_AGE;
    let hold = |sender: &SenderView| {
        let progress = sender.received.max(1) as f64 / sender.age.as_secs_f64();
        sender.held as f64 / progress
    };
    let most = senders.iter().filter(may_go).max_by(|left, right| hold(left).total_cmp(&hold(right)));
    most.map(|sender| sender.id)
}

/// Returns the slowest reader that holds most, of those that take nothing.
pub fn reader_to_cut(readers: &[ReaderView]) -> Option<u64> {
    let may_go = |reader: &&ReaderView| reader.held > SMALL_BYTES && reader.pause >= READER_PAUSE;
    let weight = |reader: &ReaderView| reader.held as f64 * reader.pause.as_secs_f64();
    let most = readers.iter().filter(may_go).max_by(|left, right| weight(left).total_cmp(&weight(right)));
    most.map(|reader| reader.id)
}

/// Returns how many runs of items a node may have at once; `None` below three quarters of the bound.
///
/// One may always run, so that accepted jobs come to their end and free what they hold.
pub fn run_limit(total: usize, bound: usize) -> Option<usize> {
    if !is_pressed(total, bound) {
        return None;
    }
    let pressed = bound as f64 * PRESSED_SHARE;
    let left = (bound as f64 - total as f64).max(0.0) / (bound as f64 - pressed);
    Some(((MOST_PRESSED_RUNS as f64 * left) as usize).max(1))
}

/// Returns whether what is held is so near its bound that senders give way and runs wait.
pub fn is_pressed(total: usize, bound: usize) -> bool {
    bound != usize::MAX && total as f64 >= bound as f64 * PRESSED_SHARE
}

//! Computes how many engines the work of a model needs.

/// Engine slots for each item of a model's open steps. There are two, so that half of the engines can run the
/// step while the other half loads a version.
const SLOTS_PER_ITEM: usize = 2;

/// Number of engines of a model whose work is small or not known yet.
const MIN_ENGINES: usize = 32;

/// Returns how many engines with `slots` slots each a model needs whose open steps have `items` items.
pub fn engines_needed(items: usize, slots: u32) -> usize {
    (items * SLOTS_PER_ITEM).div_ceil(slots.max(1) as usize).max(MIN_ENGINES)
}

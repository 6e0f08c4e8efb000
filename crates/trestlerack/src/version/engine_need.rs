//! How many engines the work of a model needs.

/// Places for each item of a model's open steps. While half of its engines load a version the other half
/// runs the step.
const PLACES_PER_ITEM: usize = 2;

/// Engines of a model whose work is small or not known yet.
const LEAST_ENGINES: usize = 32;

/// Returns how many engines a model needs whose open steps have `items`, on engines with `slots` places.
pub fn engines_needed(items: usize, slots: u32) -> usize {
    (items * PLACES_PER_ITEM).div_ceil(slots.max(1) as usize).max(LEAST_ENGINES)
}

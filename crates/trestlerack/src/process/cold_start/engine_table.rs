//! The engines that a limiter knows, found by name or by position.

use super::engine_state::EngineState;
use crate::Name;
use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use twox_hash::XxHash64;

/// Position of an engine in the limiter, which saves a look-up by name in each choice of a server. If it is outdated,
/// the engine is looked up by its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineRef {
    slot: usize,
    /// Number of the engine, which is not reused; 0 for none.
    serial: u64,
}

/// The states of engines.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineTable {
    slots: Vec<EngineState>,
    free_slots: Vec<usize>,
    references: HashMap<Name, EngineRef, BuildHasherDefault<XxHash64>>,
    last_serial: u64,
}

impl EngineTable {
    /// Returns the position of an engine; that of no engine if it is not known.
    pub(super) fn reference(&self, name: &str) -> EngineRef {
        self.references.get(name).copied().unwrap_or_default()
    }

    /// Returns an engine by its position, or by its name if that is outdated.
    pub(super) fn find(&self, reference: EngineRef, name: &str) -> Option<&EngineState> {
        match self.slots.get(reference.slot) {
            Some(engine) if engine.serial == reference.serial && reference.serial > 0 => Some(engine),
            _ => self.references.get(name).map(|reference| &self.slots[reference.slot]),
        }
    }

    pub(super) fn get(&self, name: &str) -> Option<&EngineState> {
        self.find(EngineRef::default(), name)
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut EngineState> {
        self.references.get(name).map(|reference| &mut self.slots[reference.slot])
    }

    /// Returns an engine, which is added if it is not known.
    pub(super) fn get_or_add(&mut self, name: &Name) -> &mut EngineState {
        let slot = match self.references.get(name) {
            Some(reference) => reference.slot,
            None => self.add(name),
        };
        &mut self.slots[slot]
    }

    fn add(&mut self, name: &Name) -> usize {
        self.last_serial += 1;
        let engine = EngineState::new(name, self.last_serial);
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(engine);
        } else {
            self.slots[slot] = engine;
        }
        self.references.insert(name.clone(), EngineRef { slot, serial: self.last_serial });
        slot
    }

    /// Removes the engines for which `is_kept` returns false.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&EngineState) -> bool) {
        let (slots, free_slots) = (&mut self.slots, &mut self.free_slots);
        self.references.retain(|_, reference| {
            let is_kept = is_kept(&slots[reference.slot]);
            if !is_kept {
                slots[reference.slot] = EngineState::default();
                free_slots.push(reference.slot);
            }
            is_kept
        });
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &EngineState> {
        self.slots.iter().filter(|engine| engine.serial > 0)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut EngineState> {
        self.slots.iter_mut().filter(|engine| engine.serial > 0)
    }
}

//! The nodes that drive open jobs.

use crate::Name;
use crate::hash::{hash_parts, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet};

/// The drivers of open jobs by model, from the job records that a node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobDrivers {
    by_model: BTreeMap<Name, BTreeSet<Name>>,
    /// Drivers of jobs whose record names no model; their items may run on engines of any model.
    of_any_model: BTreeSet<Name>,
}

impl JobDrivers {
    /// Adds the driver of an open job.
    pub fn add(&mut self, model: Option<&Name>, driver: Name) {
        match model {
            Some(model) => self.by_model.entry(model.clone()).or_default().insert(driver),
            None => self.of_any_model.insert(driver),
        };
    }

    /// Returns the driver that has the driver allotment of an engine; `None` if there is no driver. An engine
    /// without a model belongs to all jobs.
    pub fn of_engine(&self, engine: &str, model: Option<&Name>) -> Option<&Name> {
        let key = hash_parts(&[engine]);
        self.of_model(model).max_by_key(|driver| rendezvous_weight(key, driver))
    }

    /// Returns the number of drivers that may send to the engines of a model.
    pub fn count(&self, model: Option<&Name>) -> u32 {
        let drivers: BTreeSet<&Name> = self.of_model(model).collect();
        u32::try_from(drivers.len()).unwrap_or(u32::MAX)
    }

    fn of_model(&self, model: Option<&Name>) -> impl Iterator<Item = &Name> {
        let of_model = match model {
            Some(model) => self.by_model.get(model).into_iter().collect::<Vec<_>>(),
            None => self.by_model.values().collect(),
        };
        of_model.into_iter().flatten().chain(&self.of_any_model)
    }
}

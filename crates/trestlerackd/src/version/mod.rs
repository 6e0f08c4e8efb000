//! What lives as long as a version: the configuration in force and the plans that change it.

pub mod config_cell;
pub mod config_loop;
pub mod plans;

//! The texts that logs print for what a driver of a job is to do.

#[path = "../src/entry/drive_mode.rs"]
mod drive_mode;

use drive_mode::DriveMode;

#[test]
fn the_mode_of_a_driver_keeps_its_texts() {
    let modes = [DriveMode::Drive, DriveMode::End, DriveMode::HandOver, DriveMode::Lost];
    assert_eq!(modes.map(DriveMode::as_str), ["drive", "end", "handover", "lost"]);
}

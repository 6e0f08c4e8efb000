//! Names of the modes of a job driver in logs.

#[path = "../src/entry/drive_mode.rs"]
mod drive_mode;

use drive_mode::DriveMode;

#[test]
fn driver_modes_keep_their_log_names() {
    let modes = [DriveMode::Drive, DriveMode::End, DriveMode::HandOver, DriveMode::Lost];
    assert_eq!(modes.map(DriveMode::as_str), ["drive", "end", "handover", "lost"]);
}

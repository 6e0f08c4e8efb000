//! What a driver of a job is to do.

/// What a driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DriveMode {
    /// Bring the job forward.
    Drive,
    /// Its client ended it: stop, and keep unfinished texts.
    End,
    /// This node stops: give it to another one.
    HandOver,
    /// Another node drives it.
    Lost,
}

impl DriveMode {
    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drive => "drive",
            Self::End => "end",
            Self::HandOver => "handover",
            Self::Lost => "lost",
        }
    }
}

//! Modes of a job driver: it drives the job or stops for one of three reasons.

/// Whether a driver works on its job, and otherwise why it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum DriveMode {
    /// The driver runs the job's items and records their results.
    Drive,
    /// The client ended the job: the driver stops and stores unfinished texts as checkpoints.
    End,
    /// This node stops: the driver stores checkpoints and gives up ownership of the job.
    HandOver,
    /// Another node has taken the job over.
    Lost,
}

impl DriveMode {
    /// Returns the name of the mode in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Drive => "drive",
            Self::End => "end",
            Self::HandOver => "handover",
            Self::Lost => "lost",
        }
    }
}

//! Why a bundle's text is refused.

use snafu::Snafu;

/// Why a text did not come into force. The one in force stays.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Refusal {
    /// The checks failed.
    #[snafu(display("the bundle failed its checks"))]
    Check {
        /// What the checker says.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// It failed its checks before and was not checked again.
    #[snafu(display("the bundle was refused before"))]
    Repeated,
    /// It is larger than a bundle may be.
    #[snafu(display("the bundle has {bytes} bytes, more than allowed"))]
    TooLong {
        /// How long it is.
        bytes: usize,
    },
    /// A peer made the difference to a text that is not here (any more).
    #[snafu(display("the difference is to an unknown text"))]
    UnknownBase,
    /// A peer's difference points outside of the text that it is to.
    #[snafu(display("the difference points at pieces {first}..{first}+{count} of {pieces}"))]
    OutOfRange {
        /// The first piece that it points at.
        first: u32,
        /// How many it points at.
        count: u32,
        /// How many there are.
        pieces: usize,
    },
    /// A peer sent another piece than its outline announced.
    #[snafu(display("piece {at} is not the one that was asked for"))]
    WrongPiece {
        /// The position of the piece.
        at: u32,
    },
    /// The rebuilt text is not the one that the peer announced.
    #[snafu(display("the rebuilt bundle has another digest than announced"))]
    Digest,
}

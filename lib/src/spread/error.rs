//! Reasons why a bundle's text is refused.

use super::MAX_TEXT;
use snafu::Snafu;

/// The reason why a text did not come into force. The bundle in force stays.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum TextError {
    /// The text failed a check.
    #[snafu(display("the bundle failed its checks"))]
    Check {
        /// The error of the checker.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The text failed its checks before and was not checked again.
    #[snafu(display("the bundle was refused before"))]
    Repeated,
    /// The text is longer than [`MAX_TEXT`].
    #[snafu(display("the bundle has {bytes} bytes, more than the maximum of {MAX_TEXT}"))]
    TooLong {
        /// The length of the text.
        bytes: usize,
    },
    /// A peer sent a delta to a base text that is not held here, or no longer.
    #[snafu(display("the delta has a base text that is not held here"))]
    UnknownBase,
    /// A peer's delta refers to pieces outside of its base text.
    #[snafu(display(
        "the delta refers to pieces {first}..{first}+{count}, its base text has {pieces}"
    ))]
    OutOfRange {
        /// The position of the first piece referred to.
        first: u32,
        /// The number of pieces referred to.
        count: u32,
        /// The number of pieces of the base text.
        pieces: usize,
    },
    /// A peer sent another piece than the outline announced.
    #[snafu(display("piece {at} is not the one that the outline announced"))]
    WrongPiece {
        /// The position of the piece.
        at: u32,
    },
    /// The rebuilt text has another digest than the peer announced.
    #[snafu(display("the rebuilt bundle has another digest than announced"))]
    Digest,
}

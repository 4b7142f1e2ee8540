//! To be described.

//! Integration tests that need several packages.

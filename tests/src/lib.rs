//! Holds the integration tests that need more than one package.

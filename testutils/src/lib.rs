//! Stand-ins for the systems around an instance, and fixtures for tests.

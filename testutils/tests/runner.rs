//! One runner, so that the tests link once.

mod test_host;

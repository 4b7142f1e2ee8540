//! Tests of the command-line tool, which run its program.

mod fixtures;
mod instances;
mod test_bundle;
mod test_errors;
mod test_help;
mod test_instances;
mod test_key;

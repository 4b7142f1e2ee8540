//! Tests of the command-line tool, run as a person runs it.

mod fixtures;
mod instances;
mod test_bundle;
mod test_errors;
mod test_help;
mod test_instances;
mod test_key;

//! Tests of the HTTP server for operators.

mod fixtures;
mod test_meters;
mod test_pages;
mod test_routes;
mod test_server;

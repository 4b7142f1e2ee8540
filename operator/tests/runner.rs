//! Tests of the operators' interface, over HTTP.

mod fixtures;
mod test_meters;
mod test_pages;
mod test_routes;
mod test_server;

//! The order in which flows give way to each other when a service lacks capacity.
//!
//! Handles an excess of flows of one priority: without an order, each flow displaces any
//! other, and the callers that operators rank highest lose as often as the rest.
//!
//! The class of a route says what may be repeated. Its priority says who goes first; see
//! `docs/design/hard-load.md`.

use serde::{Deserialize, Serialize};

/// Priority of a route as operators configure it; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Priority(pub u8);

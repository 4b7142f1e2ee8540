//! A flow as operators see it.

use crate::{
    bundle::Class,
    ids::{ServiceName, TargetName},
    time::Millis,
};
use serde::{Deserialize, Serialize};

value! {
    /// One flow that an instance knows.
    #[derive(Serialize, Deserialize)]
    pub struct FlowStatus {
        /// The keyed hash of its five-tuple, in hexadecimal. An instance keeps
        /// no five-tuples, so that hundreds of thousands of flows fit.
        pub id: String,
        /// The service that it belongs to.
        pub service: ServiceName,
        /// The class of its port.
        pub class: Class,
        /// The target that it goes to.
        pub target: TargetName,
        /// Milliseconds since this instance first heard of it.
        pub age: Millis,
        /// Milliseconds since its last packet here.
        pub idle: Millis,
        /// Whether it goes elsewhere than a new flow of its bucket would.
        pub exception: bool,
    }
}

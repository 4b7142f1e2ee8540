//! A flow as shown to operators.

use crate::{
    bundle::Class,
    ids::{ServiceName, TargetName},
    time::Millis,
};
use serde::{Deserialize, Serialize};

value! {
    /// A flow that an instance knows.
    #[derive(Serialize, Deserialize)]
    pub struct FlowStatus {
        /// Keyed hash of the flow's five-tuple, in hexadecimal. An instance
        /// doesn't keep five-tuples, so that hundreds of thousands of flows fit
        /// into memory.
        pub id: String,
        /// Service of the flow.
        pub service: ServiceName,
        /// Class of the flow's port.
        pub class: Class,
        /// Target of the flow.
        pub target: TargetName,
        /// Milliseconds since this instance learned of the flow.
        pub age: Millis,
        /// Milliseconds since the flow's last packet at this instance.
        pub idle: Millis,
        /// Whether the flow's target is not the one that a new flow of its
        /// bucket would get.
        pub exception: bool,
    }
}

//! Tests of the view that the packet path follows.

mod edge {
    mod test_draft;
    mod test_rank;
}

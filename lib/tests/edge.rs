//! Tests of the view that the packet path follows and of what it reads.

mod edge {
    mod test_draft;
    mod test_input;
    mod test_rank;
}

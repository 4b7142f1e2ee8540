//! Tests of the view, on which the packet path relies, and of parsing untrusted
//! input.

mod edge {
    mod test_draft;
    mod test_input;
    mod test_rank;
}

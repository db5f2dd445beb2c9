//! Tests of the randomised soak.

mod broken_safeguards;
mod soak_seeds;

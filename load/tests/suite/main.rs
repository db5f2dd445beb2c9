//! Tests of the randomised soak, one file a feature.

mod broken_safeguards;
mod soak_seeds;

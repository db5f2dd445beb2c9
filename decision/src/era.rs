//! Numbers that a store gives out, in the order of its eras.
//!
//! A store may come back from an older copy of itself. It then gives offsets and generations out
//! again, and names a higher era in its answers. Compared without the era, a new record would count
//! as older than a lost one. docs/PLATFORM.md, "When something fails", says what follows.

/// Bits of the number within an era. The era is in the bits above, so that numbers of a later era
/// are higher and those of era 0 are as the store gave them out.
const NUMBER_BITS: u32 = 40;

/// An offset or a generation, and the era in which the store gave it out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EraNumber {
    /// The era of the store.
    pub era: u32,
    /// The number within the era.
    pub number: u64,
}

impl EraNumber {
    /// Returns the number in the order of eras, as records, messages and orders carry it.
    #[must_use]
    pub fn ordered(self) -> u64 {
        u64::from(self.era) << NUMBER_BITS | self.number
    }

    /// Splits what [`Self::ordered`] returned.
    #[must_use]
    pub fn split(ordered: u64) -> Self {
        let number = ordered & ((1 << NUMBER_BITS) - 1);
        Self { era: (ordered >> NUMBER_BITS) as u32, number }
    }
}

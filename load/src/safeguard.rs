//! Safeguards that a soak run can disable, to show that its checks detect the consequences.

/// The safeguard that a soak run disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenSafeguard {
    /// No safeguard is disabled.
    None,
    /// A new owner does not query the VMs for held grants and assumes that there are none.
    HeldQuerySkipped,
    /// A claim counts as won once it is appended, without reading it back.
    ClaimUnread,
    /// A restarted VM runs keys that an earlier incarnation of it issued.
    IssuedReused,
    /// An intent counts as valid once it is appended, without reading it back.
    IntentUnread,
    /// A grant is used after its time limit.
    GrantLate,
    /// A VM uses grants of earlier epochs after it reported its held grants to the new owner.
    OldEpochUsed,
    /// A VM that did not issue the key runs a resend without a revocation by the issuer.
    RevocationSkipped,
    /// A new owner does not send its epoch to engines that check fencing numbers.
    FenceNotSent,
}

impl BrokenSafeguard {
    /// All values, with their names on the command line.
    pub const ALL: [(Self, &'static str); 9] = [
        (Self::None, "none"),
        (Self::HeldQuerySkipped, "held-unasked"),
        (Self::ClaimUnread, "claim-unread"),
        (Self::IssuedReused, "issued-reused"),
        (Self::IntentUnread, "intent-unread"),
        (Self::GrantLate, "grant-late"),
        (Self::OldEpochUsed, "old-epoch-used"),
        (Self::RevocationSkipped, "revoke-unasked"),
        (Self::FenceNotSent, "fence-untold"),
    ];
}

impl std::fmt::Display for BrokenSafeguard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let name = Self::ALL.iter().find(|(known, _)| known == self).map_or("", |(_, name)| name);
        f.write_str(name)
    }
}

impl std::str::FromStr for BrokenSafeguard {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.iter().find(|(_, name)| *name == text).map(|(known, _)| *known);
        found.ok_or_else(|| format!("unknown safeguard {text:?}"))
    }
}

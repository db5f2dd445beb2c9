//! Safeguards that a run of the soak can break on purpose.

/// A safeguard that a run breaks on purpose, to show that the checks would notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenSafeguard {
    /// None.
    None,
    /// A new owner is told that no VM holds anything.
    HeldUnasked,
    /// A claim is taken for won when it is appended.
    ClaimUnread,
    /// A restarted VM runs keys of its earlier life.
    IssuedReused,
    /// An intent is taken for valid when it is appended.
    IntentUnread,
    /// A grant is used however late it comes.
    GrantLate,
    /// A VM uses grants of earlier epochs after it told the new owner what it holds.
    OldEpochUsed,
    /// A resend to another VM runs there without asking the issuer.
    RevokeUnasked,
    /// A new owner does not tell engines that check fencing numbers of its epoch.
    FenceUntold,
}

impl BrokenSafeguard {
    /// All of them, with their names on the command line.
    pub const ALL: [(Self, &'static str); 9] = [
        (Self::None, "none"),
        (Self::HeldUnasked, "held-unasked"),
        (Self::ClaimUnread, "claim-unread"),
        (Self::IssuedReused, "issued-reused"),
        (Self::IntentUnread, "intent-unread"),
        (Self::GrantLate, "grant-late"),
        (Self::OldEpochUsed, "old-epoch-used"),
        (Self::RevokeUnasked, "revoke-unasked"),
        (Self::FenceUntold, "fence-untold"),
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
        found.ok_or_else(|| format!("no safeguard is called {text:?}"))
    }
}

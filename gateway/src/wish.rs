//! Adapters that requests of this VM wait for.

use coltsfoothook_decision::id::{ServerName, TimePoint};
use coltsfoothook_decision::routing::AdapterKey;

/// After how long a wish is sent again: its datagram may be lost.
const REPEAT_US: u64 = 120_000;
/// After how long without effect another server is chosen: its owner may be gone.
const ELSEWHERE_US: u64 = 300_000;
/// How long a wish without waiting requests is remembered.
const FORGET_US: u64 = 1_500_000;

#[derive(Clone, Debug)]
struct OpenWish {
    key: AdapterKey,
    server: ServerName,
    since: TimePoint,
    sent_at: TimePoint,
}

/// The wishes, sorted by adapter.
#[derive(Debug, Default)]
pub(crate) struct WishList {
    wishes: Vec<OpenWish>,
}

/// What to do about a wish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WishStep {
    /// Send it to the owner of that server.
    Send(ServerName),
    /// It was sent a moment ago.
    Sent,
}

impl WishList {
    /// The server that has not carried out a wish for this adapter in time, if there is one.
    pub(crate) fn overdue(&self, key: &AdapterKey, now: TimePoint) -> Option<ServerName> {
        let at = self.wishes.binary_search_by(|wish| wish.key.cmp(key)).ok()?;
        let wish = &self.wishes[at];
        let open = now.since(wish.sent_at) <= FORGET_US;
        (open && now.since(wish.since) > ELSEWHERE_US).then(|| wish.server.clone())
    }

    /// Whether requests of this VM wait for an adapter, or did a moment ago.
    pub(crate) fn is_open(&self, key: &AdapterKey) -> bool {
        self.wishes.binary_search_by(|wish| wish.key.cmp(key)).is_ok()
    }

    /// A request would have the adapter at `server`; another request's open choice comes first.
    pub(crate) fn ask(
        &mut self,
        key: &AdapterKey,
        server: &ServerName,
        now: TimePoint,
    ) -> WishStep {
        let at = match self.wishes.binary_search_by(|wish| wish.key.cmp(key)) {
            Ok(at) => at,
            Err(at) => {
                let wish =
                    OpenWish { key: key.clone(), server: server.clone(), since: now, sent_at: now };
                self.wishes.insert(at, wish);
                return WishStep::Send(server.clone());
            }
        };
        let wish = &mut self.wishes[at];
        let forgotten = now.since(wish.sent_at) > FORGET_US;
        let moves = now.since(wish.since) > ELSEWHERE_US && wish.server != *server;
        if forgotten || moves {
            wish.server = server.clone();
            wish.since = now;
        } else if now.since(wish.sent_at) < REPEAT_US {
            return WishStep::Sent;
        }
        wish.sent_at = now;
        WishStep::Send(wish.server.clone())
    }

    /// Forgets wishes that no request asks for any more.
    pub(crate) fn forget(&mut self, now: TimePoint) {
        self.wishes.retain(|wish| now.since(wish.sent_at) < FORGET_US);
    }
}

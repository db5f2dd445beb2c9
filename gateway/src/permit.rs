//! Permits for requests to servers that state limits: questions to the issuers, and their answers.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfoothook_decision::id::TimePoint;
use coltsfoothook_decision::issuer::{issuer_rank, vm_position};
use coltsfoothook_decision::permit::{PermitQuestion, PermitReply};
use coltsfoothook_decision::statement::ReportedStatement;
use coltsfoothook_decision::subject::ServerStart;

use crate::clock;
use crate::message::PeerMessage;
use crate::state::{Gateway, SystemView};

/// Sends the open questions of this VM. Those for servers whose permits it issues itself are
/// answered at once.
pub(crate) fn ask(gateway: &Arc<Gateway>) {
    let now = clock::now();
    let mut view = gateway.view();
    let mut sends = Vec::new();
    let mut is_answered = false;
    for question in view.permits.questions(now) {
        let issuer = view.issuer_address(gateway, &question.start, now);
        let Some(state) = view.backends.get(question.start.server.as_str()) else { continue };
        let statement = state.limit_report(now);
        if let Some(address) = issuer {
            sends.push((PeerMessage::PermitQuestion(question, statement), address));
            continue;
        }
        let reply = view.issue(gateway, &question, now);
        is_answered |= view.permits.apply(now, &reply);
    }
    drop(view);
    if is_answered {
        gateway.changed.notify_waiters();
    }
    for (message, address) in sends {
        gateway.peers.send(&message, &[address]);
    }
}

/// Answers another VM's question. `statement` is what that VM knows of the limit, which this one
/// may not have been told yet.
pub(crate) fn answer_question(
    gateway: &Gateway,
    question: &PermitQuestion,
    statement: ReportedStatement,
    from: SocketAddr,
) {
    let now = clock::now();
    let mut view = gateway.view();
    view.apply_reported_statements(&[statement], now);
    let reply = view.issue(gateway, question, now);
    drop(view);
    gateway.peers.send(&PeerMessage::PermitReply(reply), &[from]);
}

/// Applies the answer of an issuer.
pub(crate) fn apply_reply(gateway: &Gateway, reply: &PermitReply) {
    let is_applied = gateway.view().permits.apply(clock::now(), reply);
    if is_applied {
        gateway.changed.notify_waiters();
    } else {
        gateway.metrics.permits("late", u64::from(reply.permits));
    }
}

impl SystemView {
    /// Returns the address of the VM that issues permits for a server; `None` if it is this one.
    fn issuer_address(
        &self,
        gateway: &Gateway,
        start: &ServerStart,
        now: TimePoint,
    ) -> Option<SocketAddr> {
        let position = vm_position(&gateway.settings.vm);
        let own = (!gateway.leaving()).then(|| issuer_rank(start, position, self.domain.eligible));
        self.roster.issuer(own, start, now)
    }

    /// Answers a question as the issuer of its server.
    fn issue(
        &mut self,
        gateway: &Gateway,
        question: &PermitQuestion,
        now: TimePoint,
    ) -> PermitReply {
        let start = &question.start;
        let state = self.backends.get(start.server.as_str());
        let current = state.filter(|state| state.entry.incarnation == start.incarnation);
        let limit = current.map(|state| state.limit_per_s());
        if limit == Some(None) {
            // The limit was lifted after the statement that the asking VM knows.
            return PermitReply::issued(question, question.count, true);
        }
        let issues = self.issuer_address(gateway, start, now).is_none();
        if let Some(Some(per_s)) = limit.filter(|_| issues) {
            self.issuer.set_limit(now, start, per_s);
        }
        let reply = self.issuer.issue(now, question);
        self.limit_uses.count_reply(start, reply.permits);
        let result = if reply.permits > 0 { "issued" } else { "denied" };
        gateway.metrics.permits(result, u64::from(reply.permits.max(1)));
        reply
    }

    /// Updates the servers for which this VM issues permits: those with a limit whose issuer it is.
    /// `reachable` and `known` are the numbers of VMs that it reaches and knows.
    pub(crate) fn update_issuer(
        &mut self,
        gateway: &Gateway,
        (reachable, known): (usize, usize),
        now: TimePoint,
    ) {
        self.issuer.set_reachable(reachable, known);
        let mut issued = Vec::new();
        for state in self.backends.servers() {
            let Some(per_s) = state.limit_per_s() else { continue };
            let start = state.start();
            if self.issuer_address(gateway, &start, now).is_none() {
                issued.push((start, per_s));
            }
        }
        self.issuer.retain(|start| issued.binary_search_by(|(known, _)| known.cmp(start)).is_ok());
        for (start, per_s) in &issued {
            self.issuer.set_limit(now, start, *per_s);
        }
    }
}

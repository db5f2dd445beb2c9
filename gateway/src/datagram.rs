//! Encoding of messages between VMs as datagrams.
//!
//! Fields are encoded by their order, so that releases that know more of them append these behind the message: earlier
//! releases read only the message.

use coltsfoothook_decision::crash::{CompletedPart, CrashReport};
use coltsfoothook_decision::id::{PartFingerprint, SoftwareVersion};
use coltsfoothook_decision::room::RoomRisk;
use coltsfoothook_decision::routing::BackendEntry;
use coltsfoothook_decision::statement::{ReportedRefusals, ReportedStatement};
use coltsfoothook_decision::usage::{UsageBase, UsageReport};

use crate::estimates::ReportedEstimates;
use crate::message::{PeerMessage, SharedState};

/// First byte of each datagram. Releases with other messages use other numbers, and datagrams with
/// an unknown number are dropped.
const FORMAT: u8 = 7;
/// Maximum size of a received datagram, in bytes.
pub(crate) const MAX_BYTES: usize = 60_000;

/// Encodes a message as a datagram. The versions of servers' software, the span of the operators' topic, the notices of
/// leaving servers, the parts of prompts that crashes are attributed to, and what concerns servers that bear few refusals
/// follow the message itself: releases that do not know them read only the message.
pub(crate) fn encode(message: &PeerMessage) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = vec![FORMAT];
    rmp_serde::encode::write(&mut bytes, message)?;
    match message {
        PeerMessage::News(update) => {
            write_software(&mut bytes, &update.entries)?;
            rmp_serde::encode::write(&mut bytes, &update.operator_span)?;
            write_notices(&mut bytes, &update.entries)?;
        }
        PeerMessage::Crashes(report) => write_parts(&mut bytes, report)?,
        PeerMessage::State(state) => {
            let uses = state.uses.as_ref();
            write_extensions(&mut bytes, &state.statements, uses, &state.estimates)?;
        }
        PeerMessage::Loads(update) => {
            let (uses, estimates) = (update.uses.as_ref(), &ReportedEstimates::default());
            write_extensions(&mut bytes, &update.statements, uses, estimates)?;
        }
        PeerMessage::Domain(update) => {
            write_extensions(&mut bytes, &update.statements, None, &update.estimates)?;
        }
        PeerMessage::Sums(sums) => {
            write_extensions(&mut bytes, &sums.statements, Some(&sums.uses), &sums.estimates)?;
        }
        PeerMessage::PermitQuestion(question, _) => {
            rmp_serde::encode::write(&mut bytes, &question.room)?;
            let risk = question.room.as_ref().map(|room| room.risk);
            rmp_serde::encode::write(&mut bytes, &risk)?;
            let via = question.room.as_ref().and_then(|room| room.via);
            rmp_serde::encode::write(&mut bytes, &via)?;
        }
        PeerMessage::PermitReply(reply) => {
            rmp_serde::encode::write(&mut bytes, &reply.room)?;
            rmp_serde::encode::write(&mut bytes, &reply.room.is_some_and(|room| room.is_sound))?;
        }
        _ => {}
    }
    Ok(bytes)
}

/// Decodes a datagram; `None` if it has another format or cannot be parsed.
pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage> {
    let (format, mut rest) = bytes.split_first()?;
    if *format != FORMAT {
        return None;
    }
    let mut message = rmp_serde::from_read(&mut rest).ok()?;
    match &mut message {
        PeerMessage::News(update) => {
            read_software(&mut rest, &mut update.entries);
            update.operator_span = rmp_serde::from_read(&mut rest).unwrap_or_default();
            read_notices(rest, &mut update.entries);
        }
        PeerMessage::Crashes(report) => read_parts(rest, report),
        PeerMessage::State(state) => {
            let uses = state.uses.as_mut();
            state.estimates = read_extensions(rest, &mut state.statements, uses);
        }
        PeerMessage::Loads(update) => {
            let _ = read_extensions(rest, &mut update.statements, update.uses.as_mut());
        }
        PeerMessage::Domain(update) => {
            update.estimates = read_extensions(rest, &mut update.statements, None);
        }
        PeerMessage::Sums(sums) => {
            sums.estimates = read_extensions(rest, &mut sums.statements, Some(&mut sums.uses));
        }
        PeerMessage::PermitQuestion(question, _) => {
            question.room = rmp_serde::from_read(&mut rest).unwrap_or_default();
            let risk: Option<RoomRisk> = rmp_serde::from_read(&mut rest).unwrap_or_default();
            let via = rmp_serde::from_read(&mut rest).unwrap_or_default();
            if let Some(room) = &mut question.room {
                (room.risk, room.via) = (risk.unwrap_or_default(), via);
            }
        }
        PeerMessage::PermitReply(reply) => {
            reply.room = rmp_serde::from_read(&mut rest).unwrap_or_default();
            let is_sound = rmp_serde::from_read(&mut rest).unwrap_or_default();
            if let Some(room) = &mut reply.room {
                room.is_sound = is_sound;
            }
        }
        _ => {}
    }
    Some(message)
}

impl SharedState {
    /// Encodes the records, with the versions of servers' software behind them as in [`encode`].
    pub(crate) fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        let mut bytes = rmp_serde::to_vec(self)?;
        write_software(&mut bytes, &self.entries)?;
        Ok(bytes)
    }

    /// Decodes the records.
    pub(crate) fn decode(mut bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        let mut state: Self = rmp_serde::from_read(&mut bytes)?;
        read_software(&mut bytes, &mut state.entries);
        Ok(state)
    }
}

/// Appends the versions of the servers' software, in the order of their entries.
fn write_software(
    bytes: &mut Vec<u8>,
    entries: &[BackendEntry],
) -> Result<(), rmp_serde::encode::Error> {
    let versions: Vec<Option<&str>> =
        entries.iter().map(|entry| entry.software.as_ref().map(SoftwareVersion::as_str)).collect();
    rmp_serde::encode::write(bytes, &versions)
}

/// Sets the versions of the servers' software. They stay unknown in messages of releases that do not send them.
fn read_software(bytes: &mut &[u8], entries: &mut [BackendEntry]) {
    let versions: Vec<Option<SoftwareVersion>> = rmp_serde::from_read(bytes).unwrap_or_default();
    for (entry, version) in entries.iter_mut().zip(versions) {
        entry.software = version;
    }
}

/// Appends the notices of leaving servers, in the order of their entries; nothing if there are none.
fn write_notices(
    bytes: &mut Vec<u8>,
    entries: &[BackendEntry],
) -> Result<(), rmp_serde::encode::Error> {
    let notices: Vec<Option<u32>> = entries.iter().map(|entry| entry.notice_ms).collect();
    if notices.iter().all(Option::is_none) {
        return Ok(());
    }
    rmp_serde::encode::write(bytes, &notices)
}

/// Sets the notices of leaving servers. They stay unknown in messages of releases that do not send them.
fn read_notices(bytes: &[u8], entries: &mut [BackendEntry]) {
    let notices: Vec<Option<u32>> = rmp_serde::from_slice(bytes).unwrap_or_default();
    for (entry, notice_ms) in entries.iter_mut().zip(notices) {
        entry.notice_ms = notice_ms;
    }
}

/// Appends the parts of a report: those of each crash, in the order of the crashes, and those that completed; then
/// which crashes were under refusals, and the trials, if any.
fn write_parts(bytes: &mut Vec<u8>, report: &CrashReport) -> Result<(), rmp_serde::encode::Error> {
    let crashes: Vec<&[PartFingerprint]> =
        report.crashes.iter().map(|crash| crash.parts.as_slice()).collect();
    rmp_serde::encode::write(bytes, &(crashes, &report.completed_parts))?;
    let overloaded: Vec<bool> = report.crashes.iter().map(|crash| crash.overloaded).collect();
    let has_trials = !report.trials.is_empty();
    if has_trials || overloaded.contains(&true) {
        rmp_serde::encode::write(bytes, &overloaded)?;
    }
    if has_trials {
        rmp_serde::encode::write(bytes, &report.trials)?;
    }
    Ok(())
}

/// Sets the parts of a report. A release that does not send them knows none.
fn read_parts(mut bytes: &[u8], report: &mut CrashReport) {
    let (crashes, completed): (Vec<Vec<PartFingerprint>>, Vec<CompletedPart>) =
        rmp_serde::from_read(&mut bytes).unwrap_or_default();
    let overloaded: Vec<bool> = rmp_serde::from_read(&mut bytes).unwrap_or_default();
    for (crash, overloaded) in report.crashes.iter_mut().zip(overloaded) {
        crash.overloaded = overloaded;
    }
    for (crash, parts) in report.crashes.iter_mut().zip(crashes) {
        crash.parts = parts;
    }
    report.completed_parts = completed;
    report.trials = rmp_serde::from_read(&mut bytes).unwrap_or_default();
}

/// Appends what earlier releases do not read: the refusals that servers bear, in the order of the
/// statements, the base of the totals, and estimates; nothing if there are none.
fn write_extensions(
    bytes: &mut Vec<u8>,
    statements: &[ReportedStatement],
    uses: Option<&UsageReport>,
    estimates: &ReportedEstimates,
) -> Result<(), rmp_serde::encode::Error> {
    let base = uses.and_then(|uses| uses.base.as_ref());
    let has_more = base.is_some() || !estimates.is_empty();
    if !has_more && statements.iter().all(|statement| statement.refusals.is_none()) {
        return Ok(());
    }
    let refusals: Vec<Option<ReportedRefusals>> =
        statements.iter().map(|statement| statement.refusals).collect();
    rmp_serde::encode::write(bytes, &refusals)?;
    if has_more {
        rmp_serde::encode::write(bytes, &base)?;
    }
    if !estimates.is_empty() {
        rmp_serde::encode::write(bytes, estimates)?;
    }
    Ok(())
}

/// Sets the refusals that servers bear and the base of the totals, and returns the estimates. A release
/// that does not send them knows none.
fn read_extensions(
    mut bytes: &[u8],
    statements: &mut [ReportedStatement],
    uses: Option<&mut UsageReport>,
) -> ReportedEstimates {
    let refusals: Vec<Option<ReportedRefusals>> =
        rmp_serde::from_read(&mut bytes).unwrap_or_default();
    for (statement, refusals) in statements.iter_mut().zip(refusals) {
        statement.refusals = refusals;
    }
    let base: Option<UsageBase> = rmp_serde::from_read(&mut bytes).unwrap_or_default();
    if let Some(uses) = uses {
        uses.base = base;
    }
    rmp_serde::from_read(&mut bytes).unwrap_or_default()
}

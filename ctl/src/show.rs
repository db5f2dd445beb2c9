//! Formats the VMs' status and explanations of requests as text.

use std::fmt::Write;

use coltsfoothook_decision::message::{ExplainReply, GroupStatus, ServerStatus, StatusReply};
use coltsfoothook_operator::{FleetStatus, VmStatus};

use crate::table::TextTable;

/// Formats the status of all VMs as tables and warnings; lists the loaded adapters if `loaded`.
pub(crate) fn status_text(status: &FleetStatus, loaded: bool) -> String {
    let mut text = vm_table(status).lines();
    text.push('\n');
    text.push_str(&group_table(status).lines());
    if loaded {
        text.push('\n');
        text.push_str(&slot_table(status).lines());
    }
    for warning in warnings(status) {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "\nwarning: {warning}");
    }
    text.trim_end().to_owned()
}

fn vm_table(status: &FleetStatus) -> TextTable {
    let mut table =
        TextTable::new(&["VM", "STATE", "CONFIG", "LOG BEHIND", "GROUPS", "SEES", "BROKEN RULES"]);
    for vm in &status.vms {
        let Some(reply) = &vm.reply else {
            table.row(vec![vm.vm.to_string(), "no answer".to_owned()]);
            continue;
        };
        let behind: u64 = reply.streams.iter().map(|it| it.end.saturating_sub(it.next)).sum();
        table.row(vec![
            vm.vm.to_string(),
            format!("{:?}", reply.state).to_lowercase(),
            reply.config.to_string(),
            behind.to_string(),
            reply.groups.len().to_string(),
            reply.live.len().to_string(),
            broken_rules(reply).to_string(),
        ]);
    }
    table
}

fn broken_rules(reply: &StatusReply) -> u64 {
    reply.invariants.iter().map(|count| count.broken).sum()
}

fn owned_groups(status: &FleetStatus) -> impl Iterator<Item = (&VmStatus, &GroupStatus)> {
    let replies = status.vms.iter().filter_map(|vm| vm.reply.as_ref().map(|reply| (vm, reply)));
    replies.flat_map(|(vm, reply)| reply.groups.iter().map(move |group| (vm, group)))
}

fn group_table(status: &FleetStatus) -> TextTable {
    let mut table = TextTable::new(&[
        "GROUP",
        "OWNER",
        "EPOCH",
        "WAITING",
        "ENGINES UP",
        "DRAINING",
        "RUNNING",
        "LOADED",
        "IN USE",
    ]);
    for (vm, group) in owned_groups(status) {
        let count = |predicate: fn(&ServerStatus) -> bool| {
            group.servers.iter().filter(|server| predicate(server)).count()
        };
        let slots = || group.servers.iter().flat_map(|server| &server.slots);
        let waiting: Vec<String> =
            group.queues.iter().map(|it| format!("{} {}", it.class.as_str(), it.waiting)).collect();
        table.row(vec![
            group.group.to_string(),
            vm.vm.to_string(),
            group.epoch.to_string(),
            if waiting.is_empty() { "-".to_owned() } else { waiting.join(", ") },
            format!("{}/{}", count(|server| server.up), group.servers.len()),
            count(|server| server.draining).to_string(),
            group.servers.iter().map(|server| server.running).sum::<u32>().to_string(),
            slots().count().to_string(),
            slots().filter(|slot| slot.in_use > 0).count().to_string(),
        ]);
    }
    table
}

fn slot_table(status: &FleetStatus) -> TextTable {
    let mut table = TextTable::new(&["ENGINE", "ADAPTER", "IN USE"]);
    for (_, group) in owned_groups(status) {
        for server in &group.servers {
            for slot in &server.slots {
                let adapter = slot.adapter.to_string();
                table.row(vec![server.server.to_string(), adapter, slot.in_use.to_string()]);
            }
        }
    }
    table
}

/// Returns a warning for each VM that does not answer, outdated configuration, broken invariant and
/// group with several owners.
fn warnings(status: &FleetStatus) -> Vec<String> {
    let mut warnings = Vec::new();
    let replies = || status.vms.iter().filter_map(|vm| vm.reply.as_ref());
    let unresponsive: Vec<&str> =
        status.vms.iter().filter(|vm| vm.reply.is_none()).map(|vm| vm.vm.as_str()).collect();
    if !unresponsive.is_empty() {
        warnings.push(format!("no answer from {}", unresponsive.join(", ")));
    }
    let newest = replies().map(|reply| reply.config).max().unwrap_or_default();
    let outdated: Vec<&str> =
        replies().filter(|reply| reply.config < newest).map(|reply| reply.vm.vm.as_str()).collect();
    if !outdated.is_empty() {
        warnings.push(format!("version {newest} is not in force at {}", outdated.join(", ")));
    }
    for reply in replies() {
        for count in reply.invariants.iter().filter(|count| count.broken > 0) {
            let vm = &reply.vm.vm;
            warnings
                .push(format!("rule {} broken at {vm}, count {}", count.invariant, count.broken));
        }
    }
    let mut claims: Vec<(&str, &str)> =
        owned_groups(status).map(|(vm, group)| (group.group.as_str(), vm.vm.as_str())).collect();
    claims.sort_unstable();
    for pair in claims.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        warnings.push(format!(
            "{} and {} both claim ownership of group {}; the older owner yields when it reads the log",
            pair[0].1, pair[1].1, pair[0].0
        ));
    }
    warnings
}

/// Formats the steps of a request as a table.
pub(crate) fn explain_text(replies: &[ExplainReply]) -> String {
    let mut table = TextTable::new(&["VM", "MS", "STEP", "DETAIL"]);
    for reply in replies {
        for step in &reply.steps {
            table.row(vec![
                reply.vm.vm.to_string(),
                step.at_ms.to_string(),
                step.kind.as_str().to_owned(),
                step.detail.clone(),
            ]);
        }
    }
    table.lines().trim_end().to_owned()
}

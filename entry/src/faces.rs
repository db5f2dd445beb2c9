//! Handler of the caller interface.

use std::sync::Arc;

use async_trait::async_trait;
use coltsfoothook_caller::{
    CallHandler, CallProblem, CompletionAnswer, CompletionCall, EntriesAnswer, EntryAddress,
    HealthAnswer, JobCall, JobResult, JobStatus, ModelInfo, ModelPage, ModelQuery, ServiceAnswer,
    ServiceCall,
};
use coltsfoothook_decision::id::{AdapterVersion, CustomerName, JobId, RequestId};
use coltsfoothook_decision::manifest::AdapterEntry;

use crate::core::{EntryCore, read};
use crate::held::lock;

/// Number of issued idempotency keys returned with a list of entry addresses.
const KEYS_PER_LIST: usize = 8;

/// Serves caller requests from the shared state.
pub(crate) struct CallerInterface {
    pub(crate) core: Arc<EntryCore>,
}

#[async_trait]
impl CallHandler for CallerInterface {
    fn authenticate(&self, bearer: &str) -> Option<CustomerName> {
        self.core.view().tenant_of(bearer).cloned()
    }

    fn next_request_id(&self) -> RequestId {
        self.core.next_request_id()
    }

    fn health(&self) -> HealthAnswer {
        if self.core.gate.is_closed() {
            return HealthAnswer { ready: false, state: "leaving".to_owned() };
        }
        match self.core.ready() {
            Ok(()) => HealthAnswer { ready: true, state: "ready".to_owned() },
            Err(why) => HealthAnswer { ready: false, state: why.to_owned() },
        }
    }

    async fn entries(&self, _tenant: &CustomerName) -> Result<EntriesAnswer, CallProblem> {
        let mut entries = live_entries(&self.core);
        let domain = &self.core.settings.domain;
        entries.sort_by(|left, right| {
            let other_domain = |entry: &EntryAddress| entry.domain != *domain;
            other_domain(left).cmp(&other_domain(right)).then_with(|| left.vm.cmp(&right.vm))
        });
        let mut claims = lock(&self.core.claims);
        let keys = (0..KEYS_PER_LIST).map(|_| claims.issue()).collect();
        Ok(EntriesAnswer { entries, ttl_ms: self.core.settings.entries_ttl_ms, keys })
    }

    async fn models(
        &self,
        tenant: &CustomerName,
        query: ModelQuery,
    ) -> Result<ModelPage, CallProblem> {
        Ok(model_page(&self.core, tenant.as_str(), &query))
    }

    async fn complete(&self, call: CompletionCall) -> Result<CompletionAnswer, CallProblem> {
        crate::serve::complete(&self.core, call).await
    }

    async fn call_service(&self, call: ServiceCall) -> Result<ServiceAnswer, CallProblem> {
        crate::services::call_service(&self.core, call).await
    }

    async fn submit_job(&self, call: JobCall) -> Result<JobStatus, CallProblem> {
        crate::jobs::submit(&self.core, call).await
    }

    async fn job_status(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<JobStatus, CallProblem> {
        crate::jobs::status(&self.core, tenant, job)
    }

    async fn job_result(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<JobResult, CallProblem> {
        crate::jobs::result(&self.core, tenant, job)
    }

    async fn cancel_job(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<JobStatus, CallProblem> {
        crate::jobs::cancel(&self.core, tenant, job).await
    }
}

/// Returns the VMs of this region that accept callers: live, not draining, with a weight above 0
/// and a caller port.
fn live_entries(core: &EntryCore) -> Vec<EntryAddress> {
    let members = lock(&core.members);
    let control = read(&core.control);
    let region = core.settings.region.as_str();
    members
        .live()
        .filter(|row| row.place().region.as_str() == region)
        .filter(|row| !control.is_vm_draining(row.name()) && row.facts().weight > 0)
        .filter(|row| row.place().caller.port() != 0)
        .map(|row| EntryAddress {
            vm: row.identity().vm.clone(),
            address: row.place().caller,
            weight: row.facts().weight,
            domain: row.place().domain.clone(),
            region: row.place().region.clone(),
        })
        .collect()
}

/// Returns one page of the adapter versions that `tenant` may use, in order of adapter and
/// version.
fn model_page(core: &EntryCore, tenant: &str, query: &ModelQuery) -> ModelPage {
    let view = core.view();
    let adapters = &view.manifest.adapters;
    let (after, version) = match query.after.as_deref().map(|after| after.split_once('@')) {
        Some(Some((adapter, version))) => (adapter, version),
        _ => (query.after.as_deref().unwrap_or_default(), ""),
    };
    let start = adapters.partition_point(|entry| entry.name.as_str() < after);
    let mut models = Vec::new();
    for entry in adapters[start..].iter().filter(|entry| entry.allows(tenant)) {
        let same = entry.name.as_str() == after;
        for info in model_infos(entry) {
            if same && info.adapter.version.as_str() <= version {
                continue;
            }
            if models.len() == query.limit {
                return ModelPage { models, more: true };
            }
            models.push(info);
        }
    }
    ModelPage { models, more: false }
}

fn model_infos(entry: &AdapterEntry) -> impl Iterator<Item = ModelInfo> {
    entry.versions.iter().map(|version| ModelInfo {
        adapter: AdapterVersion { adapter: entry.name.clone(), version: version.version.clone() },
        default: entry.default_version.as_ref() == Some(&version.version),
    })
}

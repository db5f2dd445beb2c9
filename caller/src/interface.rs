//! Dispatches HTTP requests to the handler and turns its results into responses.

use std::sync::Arc;

use coltsfoothook_decision::id::{
    CustomerName, JobId, RequestFingerprint, ServiceName, stable_hash,
};
use coltsfoothook_decision::outcome::RequestClass;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use serde::Serialize;

use crate::answer::{bytes_response, completion_response, json_response, service_response};
use crate::body::{completion_fingerprint, infer_kind, parse_completion, read_body};
use crate::handler::{
    CallHandler, CompletionCall, CompletionKind, JobCall, ModelPage, ModelQuery, ServiceCall,
};
use crate::header::{CallHeaders, forward_headers, read_bearer, read_caller_id, read_headers};
use crate::payload::ResponseBody;
use crate::problem::{CallProblem, InterfaceReason, ProblemIds, problem_response};
use crate::route::{CallerRoute, find_route};
use crate::settings::CallerSettings;

/// The response header with the id that this VM gave the request.
const REQUEST_ID_HEADER: &str = "coltsfoothook-request-id";

/// The callers' HTTP interface, shared by all connections.
pub(crate) struct CallerInterface {
    pub(crate) settings: CallerSettings,
    pub(crate) handler: Arc<dyn CallHandler>,
}

/// A call whose credential and headers have been checked.
struct AuthenticatedCall {
    tenant: CustomerName,
    ids: ProblemIds,
    headers: CallHeaders,
}

impl CallerInterface {
    /// Answers a request. Failures become problem documents, and every response carries the request
    /// id.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let mut ids = ProblemIds { request_id: self.handler.next_request_id().0, caller_id: None };
        let result = self.dispatch(request, &mut ids).await;
        let mut response = result.unwrap_or_else(|problem| problem_response(&problem, &ids));
        if let Ok(id) = HeaderValue::from_str(&ids.request_id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
        ids: &mut ProblemIds,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        self.check_path(request.uri())?;
        let route = find_route(request.method(), request.uri().path(), &self.settings)?;
        if route == CallerRoute::Health {
            return Ok(self.health());
        }
        ids.caller_id = read_caller_id(request.headers(), &self.settings)?;
        let bearer = read_bearer(request.headers(), &self.settings)?;
        let tenant = self.handler.authenticate(bearer).ok_or_else(|| {
            CallProblem::not_run(InterfaceReason::Unauthenticated, "unknown credential")
        })?;
        let headers = read_headers(request.headers(), &self.settings)?;
        let call = AuthenticatedCall { tenant, ids: ids.clone(), headers };
        self.run(route, call, request).await
    }

    async fn run(
        &self,
        route: CallerRoute,
        call: AuthenticatedCall,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        match route {
            CallerRoute::Health => Ok(self.health()),
            CallerRoute::Entries => self.entries(&call.tenant).await,
            CallerRoute::Models => self.models(&call.tenant, request.uri()).await,
            CallerRoute::Complete(kind) => self.complete(kind, call, request).await,
            CallerRoute::Service { service, path } => {
                self.call_service(service, path, call, request).await
            }
            CallerRoute::SubmitJob => self.submit_job(call, request).await,
            CallerRoute::JobStatus(job) => self.job_status(&call.tenant, &job).await,
            CallerRoute::JobResult(job) => self.job_result(&call.tenant, &job).await,
            CallerRoute::CancelJob(job) => self.cancel_job(&call.tenant, &job).await,
        }
    }

    fn check_path(&self, uri: &Uri) -> Result<(), CallProblem> {
        let max_bytes = self.settings.path_bytes;
        let length = uri.path_and_query().map_or(0, |path| path.as_str().len());
        if length > max_bytes {
            let detail = format!("path and query may have at most {max_bytes} bytes");
            return Err(CallProblem::not_run(InterfaceReason::HeaderTooLarge, detail));
        }
        Ok(())
    }

    fn health(&self) -> Response<ResponseBody> {
        let health = self.handler.health();
        let status = if health.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json_response(status, &health)
    }

    async fn entries(&self, tenant: &CustomerName) -> Result<Response<ResponseBody>, CallProblem> {
        let answer = self.handler.entries(tenant).await?;
        Ok(json_response(StatusCode::OK, &answer))
    }

    async fn models(
        &self,
        tenant: &CustomerName,
        uri: &Uri,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        let query = model_query(uri.query().unwrap_or_default(), &self.settings)?;
        let page = self.handler.models(tenant, query).await?;
        Ok(json_response(StatusCode::OK, &ModelList::from(page)))
    }

    async fn complete(
        &self,
        kind: CompletionKind,
        call: AuthenticatedCall,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        let ids = call.ids.clone();
        let (parts, body) = request.into_parts();
        let bytes = read_body(&parts.headers, body, &self.settings).await?;
        let call = self.completion_call(kind, call, &bytes, self.settings.default_class)?;
        let answer = self.handler.complete(call).await?;
        Ok(completion_response(answer, ids))
    }

    fn completion_call(
        &self,
        kind: CompletionKind,
        call: AuthenticatedCall,
        bytes: &[u8],
        default_class: RequestClass,
    ) -> Result<CompletionCall, CallProblem> {
        let body = parse_completion(kind, bytes, &self.settings)?;
        let fingerprint = completion_fingerprint(call.tenant.as_str(), &body.model, &body.fields);
        Ok(CompletionCall {
            kind,
            tenant: call.tenant,
            request_id: call.ids.request_id.into(),
            caller_id: call.ids.caller_id,
            model: body.model,
            class: call.headers.class.unwrap_or(default_class),
            deadline_ms: call.headers.deadline_ms,
            repeatable: call.headers.repeatable.unwrap_or(true),
            first_try: call.headers.first_try,
            key: call.headers.key,
            stream: body.stream,
            max_tokens: body.max_tokens,
            prompt_tokens: body.prompt_tokens,
            prefix: body.prefix,
            parts: body.parts,
            fingerprint,
            body: body.fields,
        })
    }

    async fn call_service(
        &self,
        service: ServiceName,
        path: String,
        call: AuthenticatedCall,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        let (parts, body) = request.into_parts();
        let path_and_query = match parts.uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        let headers = forward_headers(&parts.headers);
        let method = parts.method.clone();
        let body = read_body(&parts.headers, body, &self.settings).await?;
        let fingerprint = service_fingerprint(&call, &service, &method, &path_and_query, &body);
        let call = ServiceCall {
            service,
            method,
            path_and_query,
            headers,
            body,
            tenant: call.tenant,
            request_id: call.ids.request_id.into(),
            caller_id: call.ids.caller_id,
            class: call.headers.class.unwrap_or(self.settings.default_class),
            deadline_ms: call.headers.deadline_ms,
            repeatable: call.headers.repeatable,
            first_try: call.headers.first_try,
            key: call.headers.key,
            fingerprint,
        };
        let answer = self.handler.call_service(call).await?;
        Ok(service_response(answer))
    }

    async fn submit_job(
        &self,
        call: AuthenticatedCall,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        let (parts, body) = request.into_parts();
        let bytes = read_body(&parts.headers, body, &self.settings).await?;
        let kind = infer_kind(&bytes, &self.settings);
        let job = call.headers.key.as_ref().map(|key| JobId::from(key.as_str()));
        let call = self.completion_call(kind, call, &bytes, RequestClass::Audit)?;
        if call.stream {
            let detail =
                "the answer of a job cannot be streamed; the field stream must not be true";
            return Err(CallProblem::not_run(InterfaceReason::MalformedRequest, detail));
        }
        let status = self.handler.submit_job(JobCall { job, call }).await?;
        Ok(json_response(StatusCode::ACCEPTED, &status))
    }

    async fn job_status(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        let status = self.handler.job_status(tenant, job).await?;
        Ok(json_response(StatusCode::OK, &status))
    }

    async fn job_result(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        let result = self.handler.job_result(tenant, job).await?;
        Ok(bytes_response(StatusCode::OK, &result.content_type, result.body))
    }

    async fn cancel_job(
        &self,
        tenant: &CustomerName,
        job: &JobId,
    ) -> Result<Response<ResponseBody>, CallProblem> {
        let status = self.handler.cancel_job(tenant, job).await?;
        Ok(json_response(StatusCode::OK, &status))
    }
}

/// Hashes the customer, service, method, path with query, and body of a call.
fn service_fingerprint(
    call: &AuthenticatedCall,
    service: &ServiceName,
    method: &http::Method,
    path_and_query: &str,
    body: &[u8],
) -> RequestFingerprint {
    let body = String::from_utf8_lossy(body);
    let parts =
        [call.tenant.as_str(), service.as_str(), method.as_str(), path_and_query, body.as_ref()];
    RequestFingerprint(stable_hash(&parts))
}

fn model_query(query: &str, settings: &CallerSettings) -> Result<ModelQuery, CallProblem> {
    let malformed =
        |detail: String| CallProblem::not_run(InterfaceReason::MalformedRequest, detail);
    let mut parsed = ModelQuery { after: None, limit: settings.page_entries };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        match pair.split_once('=') {
            Some(("after", after)) => parsed.after = Some(after.replace("%40", "@")),
            Some(("limit", limit)) => {
                let max_limit = settings.page_entries;
                let limit = limit.parse().ok().filter(|limit| (1..=max_limit).contains(limit));
                parsed.limit = limit
                    .ok_or_else(|| malformed(format!("limit must be from 1 to {max_limit}")))?;
            }
            _ => return Err(malformed("the query may contain only after and limit".to_owned())),
        }
    }
    Ok(parsed)
}

/// A page of models in the format of OpenAI's `GET /v1/models`.
#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelItem>,
    has_more: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    last_id: Option<String>,
}

#[derive(Serialize)]
struct ModelItem {
    id: String,
    object: &'static str,
    owned_by: &'static str,
    default: bool,
}

impl From<ModelPage> for ModelList {
    fn from(page: ModelPage) -> Self {
        let items = page.models.into_iter().map(|model| ModelItem {
            id: model.adapter.to_string(),
            object: "model",
            owned_by: "coltsfoothook",
            default: model.default,
        });
        let data: Vec<_> = items.collect();
        let last_id = data.last().map(|item| item.id.clone());
        Self { object: "list", data, has_more: page.more, last_id }
    }
}

//! Tests of the stand-ins and of the clients that call them.

mod common;
mod engine_orders;
mod lost_append;
mod odd_answers;
mod run_order;
mod run_stages;
mod service_stages;
mod vm_list;
mod whole_answer;

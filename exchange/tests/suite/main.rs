//! Tests of the exchange, one file a feature.

mod odd_servers;

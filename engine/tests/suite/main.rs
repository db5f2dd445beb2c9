//! Tests of the engines' client, one file a feature.

mod encoded_names;

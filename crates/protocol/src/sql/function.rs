//! List of functions that only read, so that a query which calls them may run on a replica.

use std::collections::HashSet;
use std::sync::LazyLock;

/// Read-only functions, and keywords and types that a parenthesis may follow.
const READ_ONLY_NAMES: &str = "
    abs age all and any array array_agg array_length as ascii avg between bigint bit_and
    bit_length bit_or bool_and bool_or btrim by case cast ceil ceiling char char_length
    character_length chr coalesce concat concat_ws count cume_dist current_database
    current_schema current_schemas current_setting date date_part date_trunc decimal decode
    dense_rank distinct else encode end every except exists exp extract filter first_value
    float floor format format_type from generate_series greatest group grouping
    has_schema_privilege has_table_privilege having in initcap intersect interval is join
    json_agg json_build_object jsonb_agg jsonb_build_object lag last_value lateral lead
    least left length like limit ln log lower lpad ltrim make_date max md5 min mod not ntile
    nullif numeric obj_description octet_length offset on or order over overlay partition
    percent_rank percentile_cont pg_column_size pg_encoding_to_char pg_get_constraintdef
    pg_get_expr pg_get_indexdef pg_get_userbyid pg_get_viewdef pg_is_in_recovery pg_sleep
    pg_table_is_visible pg_type_is_visible pg_typeof position power quote_ident
    quote_literal random rank regexp_match regexp_replace repeat replace reverse right round
    row row_number row_to_json rpad rtrim select shobj_description sign some split_part sqrt
    stddev string_agg strpos substr substring sum then time timestamp to_char to_date
    to_json to_jsonb to_number to_timestamp translate trim trunc union unnest upper using
    values varchar variance version when where with within
";

static READ_ONLY_SET: LazyLock<HashSet<&'static str>> =
    LazyLock::new(|| READ_ONLY_NAMES.split_whitespace().collect());

/// Returns whether `name`, in lower case, is a known read-only function or keyword.
pub(super) fn is_read_only(name: &str) -> bool {
    READ_ONLY_SET.contains(name)
}

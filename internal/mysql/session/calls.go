package session

import (
	"slices"
	"strings"
)

// calls reports whether the token at i is the name of a function that is called: a name before an
// opening parenthesis, which may also be a keyword.
func calls(t []token, i int) bool {
	return i+1 < len(t) && t[i+1].kind == tokenPunct && t[i+1].text == "("
}

// qualified reports whether the name at i follows a period. Built-in functions have no qualifier.
func qualified(t []token, i int) bool {
	return i > 0 && t[i-1].kind == tokenPunct && t[i-1].text == "."
}

// calledBuiltin returns the name of the function that is called at i if it is a built-in one of that
// name, and otherwise "". A quoted name calls a built-in function too.
func calledBuiltin(t []token, i int) string {
	if !calls(t, i) || qualified(t, i) {
		return ""
	}
	switch t[i].kind {
	case tokenWord, tokenQuotedName, tokenDoubleQuoted:
		return t[i].text
	}
	return ""
}

// callsUnknownFunction reports whether a statement calls a function that may have side effects.
// Only a plain word from pureWords is known to have none: a name that is qualified or quoted can be
// that of a stored function, whatever its spelling. Text in double quotes is a name under the SQL
// mode ANSI_QUOTES, which a session's status does not tell.
func callsUnknownFunction(t []token) bool {
	for i, k := range t {
		if !calls(t, i) {
			continue
		}
		switch k.kind {
		case tokenQuotedName, tokenDoubleQuoted, tokenNumber: // a name can begin with a digit
			return true
		case tokenWord:
			if qualified(t, i) || !pureCall(t, i) {
				return true
			}
		}
	}
	return false
}

// callsStoredCode reports whether a statement calls a stored procedure or what may be a stored
// function. Lists of columns are not taken for calls.
func callsStoredCode(t []token) bool {
	switch t[0].text {
	case "call":
		return true
	case "select", "with", "table", "values", "do", "update", "delete":
		return callsUnknownFunction(t)
	case "insert", "replace":
		begin := slices.IndexFunc(t[1:], func(k token) bool { return k.kind == tokenWord && insertSources[k.text] })
		return begin >= 0 && callsUnknownFunction(t[begin+2:])
	}
	return false
}

// insertSources holds the words that end the list of columns of an INSERT or REPLACE.
var insertSources = wordSet(`values value set select with table`)

// pureCall reports whether the unqualified word at i, which precedes a parenthesis, is a keyword or
// a built-in function without side effects.
func pureCall(t []token, i int) bool {
	word, parenthesis := t[i], t[i+1]
	switch {
	case infoFunctions[word.text] != 0, word.text == "is_free_lock", word.text == "is_used_lock":
		return true
	case adjacentOnly[word.text]:
		return word.end == parenthesis.start
	case subqueryWords[word.text]:
		return i+2 < len(t) && t[i+2].kind == tokenWord && queryVerbs[t[i+2].text]
	}
	return pureWords[word.text]
}

// adjacentOnly holds the built-in functions that the server recognizes only directly before the
// parenthesis, unless the SQL mode is IGNORE_SPACE. Behind a space the same word calls a stored
// function. Source: MySQL 8.0 Reference Manual, 9.2.5 "Function Name Parsing and Resolution".
var adjacentOnly = wordSet(`
	adddate bit_and bit_or bit_xor cast count curdate curtime date_add date_sub extract group_concat json_arrayagg json_objectagg max
	mid min now position session_user st_collect std stddev stddev_pop stddev_samp subdate substr substring sum sysdate system_user
	trim variance var_pop var_samp`)

// subqueryWords holds the words that are no reserved ones and precede a subquery. Before anything
// else they call a stored function.
var subqueryWords = wordSet(`any some`)

// queryVerbs holds the words that begin a subquery.
var queryVerbs = wordSet(`select with table values`)

// pureWords holds the built-in functions without side effects and the keywords that may precede a
// parenthesis. Any other function may be a stored function, which may do anything.
var pureWords = wordSet(`
	abs acos addtime aes_decrypt aes_encrypt any_value ascii asin atan atan2 avg benchmark bin bin_to_uuid bit_count bit_length
	ceil ceiling char char_length character_length charset coalesce coercibility collation compress concat concat_ws connection_id conv
	convert convert_tz cos cot crc32 cume_dist current_date current_time current_timestamp current_user
	database date date_format datediff day dayname dayofmonth dayofweek dayofyear default degrees dense_rank elt
	exists exp export_set field find_in_set first_value floor format from_base64 from_days from_unixtime greatest
	grouping hex hour if ifnull in index inet6_aton inet6_ntoa inet_aton inet_ntoa insert instr interval is_ipv4 is_ipv6 is_uuid
	isnull json_array json_contains json_contains_path json_depth json_extract json_keys json_length json_merge_patch
	json_merge_preserve json_object json_overlaps json_pretty json_quote json_remove json_replace json_schema_valid json_search json_set
	json_table json_type json_unquote json_valid json_value key lag last_day last_value lcase lead least left length ln localtime
	localtimestamp locate log log10 log2 lower lpad ltrim make_set makedate maketime md5 microsecond minute mod month
	monthname nth_value ntile nullif oct octet_length ord partition percent_rank period_add period_diff pi pow power quarter
	quote radians rand random_bytes rank regexp_instr regexp_like regexp_replace regexp_substr repeat replace reverse right round row row_number rpad
	rtrim schema sec_to_time second sha sha1 sha2 sign sin sleep soundex space sqrt st_asgeojson st_astext st_contains
	st_distance st_distance_sphere st_geomfromtext st_within st_x st_y str_to_date strcmp
	substring_index subtime tan time time_format time_to_sec timediff timestamp timestampadd
	timestampdiff to_base64 to_days to_seconds truncate ucase uncompress uncompressed_length unhex unix_timestamp upper user utc_date utc_time utc_timestamp uuid
	uuid_short uuid_to_bin values version week weekday weekofyear weight_string year yearweek
	all and as between by case distinct div else except force from group having ignore inner intersect is join like limit not of
	on or order over regexp rlike select straight_join then union use using when where window with xor decimal binary varchar
	unsigned float double rows range lateral recursive natural cross`)

// wordSet returns the words of list, which are separated by white space.
func wordSet(list string) map[string]bool {
	set := map[string]bool{}
	for _, word := range strings.Fields(list) {
		set[word] = true
	}
	return set
}

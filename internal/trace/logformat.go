package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// record is one logged request.
type record struct {
	timestamp time.Time // time of its end, or of its start if atStart is set
	atStart   bool
	took      time.Duration // -1: not logged
	method    string
	target    string
	host      string
	status    int
	id        string // value of X-Request-ID
	key       string // value of Idempotency-Key
	tenant    string
	client    string
	cost      int64
	size      int64 // size of the body; -1: not logged
	body      []byte
	lacksZone bool // its time was logged without a zone
}

// arrival returns when the request arrived, or its logged time if no duration was logged.
func (r *record) arrival() time.Time {
	if r.atStart || r.took < 0 {
		return r.timestamp
	}
	return r.timestamp.Add(-r.took)
}

// LineParser parses the lines of a log. NewParser returns one.
type LineParser interface {
	parse(line string) (record, error)
}

// field identifies the meaning of a part of a line.
type field int

const (
	skipped field = iota
	addr
	timeLocal   // 10/Oct/2000:13:55:36 -0700
	timeISO     // 2000-10-10T13:55:36-07:00
	timeSec     // seconds since 1970, with a fraction
	timeMilli   // milliseconds since 1970
	timeMicro   // microseconds since 1970
	requestLine // GET /path HTTP/1.1
	method
	target
	host
	status
	tookSec
	tookMilli
	tookMicro
	requestID
	idempotencyKey
	tenant
	requestCost
	bodySize
)

// lineField is a field of a line and the text that follows it.
type lineField struct {
	field     field
	delimiter string // empty: the field extends to the end of the line
}

// lineFormat parses lines of delimited fields.
type lineFormat struct {
	prefix     string
	fields     []lineField
	zone       *time.Location
	startTimes bool // times are start times
}

// Common access log formats in the notation of Apache.
const (
	CommonLog   = `%h %l %u %t "%r" %>s %b`
	CombinedLog = CommonLog + ` "%{Referer}i" "%{User-Agent}i"`
)

var nginxFields = map[string]field{
	"remote_addr": addr, "time_local": timeLocal, "time_iso8601": timeISO, "msec": timeSec, "request": requestLine, "request_method": method,
	"request_uri": target, "uri": target, "host": host, "http_host": host, "status": status, "request_time": tookSec, "request_id": requestID,
	"http_x_request_id": requestID, "http_idempotency_key": idempotencyKey, "http_x_tenant_id": tenant, "http_x_cost": requestCost, "content_length": bodySize,
	"http_content_length": bodySize,
}

var headerFields = map[string]field{
	"x-request-id": requestID, "idempotency-key": idempotencyKey, "x-tenant-id": tenant, "x-cost": requestCost, "content-length": bodySize, "host": host,
}

// ParseNginx returns a parser for an nginx log_format string.
func ParseNginx(format string, zone *time.Location) (LineParser, error) {
	f := &lineFormat{zone: zone}
	rest := format
	i := strings.IndexByte(rest, '$')
	if i < 0 {
		return nil, errors.New("log_format: it names no variable")
	}
	f.prefix, rest = rest[:i], rest[i:]
	for rest != "" {
		rest = rest[1:]
		braces := strings.HasPrefix(rest, "{")
		rest = strings.TrimPrefix(rest, "{")
		n := 0
		for n < len(rest) && (rest[n] == '_' || rest[n] >= 'a' && rest[n] <= 'z' || rest[n] >= '0' && rest[n] <= '9') {
			n++
		}
		name := rest[:n]
		if rest = rest[n:]; braces {
			rest = strings.TrimPrefix(rest, "}")
		}
		if name == "" {
			return nil, fmt.Errorf("log_format: no variable name after a $ before %.20q", rest)
		}
		next := strings.IndexByte(rest, '$')
		if next < 0 {
			next = len(rest)
		}
		f.fields = append(f.fields, lineField{nginxFields[name], rest[:next]})
		rest = rest[next:]
	}
	return f, f.check("log_format")
}

// ParseApache returns a parser for an Apache LogFormat string.
func ParseApache(format string, zone *time.Location) (LineParser, error) {
	f := &lineFormat{zone: zone}
	format = strings.ReplaceAll(format, `\"`, `"`)
	i := strings.IndexByte(format, '%')
	if i < 0 {
		return nil, errors.New("LogFormat: it has no directive")
	}
	f.prefix = format[:i]
	for rest := format[i:]; rest != ""; {
		rest = strings.TrimLeft(rest[1:], "<>!,0123456789")
		arg := ""
		if strings.HasPrefix(rest, "{") {
			end := strings.IndexByte(rest, '}')
			if end < 0 {
				return nil, fmt.Errorf("LogFormat: a { without its } before %.20q", rest)
			}
			arg, rest = rest[1:end], rest[end+1:]
		}
		if rest == "" {
			return nil, errors.New("LogFormat: a % without a directive at the end")
		}
		directive := rest[0]
		rest = rest[1:]
		k, startTime, err := apacheField(directive, arg)
		if err != nil {
			return nil, err
		}
		f.startTimes = f.startTimes || startTime
		next := strings.IndexByte(rest, '%')
		if next < 0 {
			next = len(rest)
		}
		f.fields = append(f.fields, lineField{k, rest[:next]})
		rest = rest[next:]
	}
	return f, f.check("LogFormat")
}

// apacheField returns the field of a directive. Apache logs the start time of a request unless the
// argument has the prefix "end:".
func apacheField(directive byte, arg string) (k field, startTime bool, err error) {
	switch directive {
	case 'h', 'a':
		return addr, false, nil
	case 't':
		startTime = true
		if rest, ok := strings.CutPrefix(arg, "end:"); ok {
			arg, startTime = rest, false
		}
		arg = strings.TrimPrefix(arg, "begin:")
		switch arg {
		case "":
			return timeLocal, startTime, nil
		case "sec":
			return timeSec, startTime, nil
		case "msec":
			return timeMilli, startTime, nil
		case "usec":
			return timeMicro, startTime, nil
		case "%Y-%m-%dT%H:%M:%S%z":
			return timeISO, startTime, nil
		}
		return 0, false, fmt.Errorf("LogFormat: the time format %%{%s}t is not supported", arg)
	case 'r':
		return requestLine, false, nil
	case 'm':
		return method, false, nil
	case 'U':
		return target, false, nil
	case 'v', 'V':
		return host, false, nil
	case 's':
		return status, false, nil
	case 'D':
		return tookMicro, false, nil
	case 'T':
		switch arg {
		case "ms":
			return tookMilli, false, nil
		case "us":
			return tookMicro, false, nil
		}
		return tookSec, false, nil
	case 'L':
		return requestID, false, nil
	case 'i', 'o':
		return headerFields[strings.ToLower(arg)], false, nil
	}
	return skipped, false, nil
}

// check returns an error if a format has no time or request, or cannot be split into fields.
func (f *lineFormat) check(name string) error {
	has := map[field]bool{}
	for i, p := range f.fields {
		has[p.field] = true
		if p.delimiter == "" && i < len(f.fields)-1 {
			return fmt.Errorf("%s: two fields with nothing between them cannot be separated", name)
		}
	}
	switch {
	case !has[timeLocal] && !has[timeISO] && !has[timeSec] && !has[timeMilli] && !has[timeMicro]:
		return fmt.Errorf("%s: no time field", name)
	case !has[requestLine] && !(has[method] && has[target]):
		return fmt.Errorf("%s: no request field", name)
	}
	return nil
}

// parse implements LineParser.
func (f *lineFormat) parse(line string) (record, error) {
	r := record{took: -1, size: -1, atStart: f.startTimes}
	rest, ok := strings.CutPrefix(line, f.prefix)
	if !ok {
		return r, errors.New("it does not start with the text that its format requires")
	}
	for i, p := range f.fields {
		value := rest
		if p.delimiter != "" {
			var at int
			// Apache writes the time in brackets.
			if p.field == timeLocal && strings.HasPrefix(rest, "[") {
				end := strings.IndexByte(rest, ']')
				if end < 0 {
					return r, errors.New("its time has no closing bracket")
				}
				at = end + 1
				if !strings.HasPrefix(rest[at:], p.delimiter) {
					return r, fmt.Errorf("no %q after its time", p.delimiter)
				}
			} else if at = indexUnescaped(rest, p.delimiter); at < 0 {
				return r, fmt.Errorf("field %d does not end", i+1)
			}
			value, rest = rest[:at], rest[at+len(p.delimiter):]
		} else {
			rest = ""
		}
		if err := r.set(p.field, value, f.zone); err != nil {
			return r, err
		}
	}
	return r, nil
}

// indexUnescaped returns the index of the text that ends a field. Servers escape a quote within a
// client's text by a backslash.
func indexUnescaped(s, delimiter string) int {
	for from := 0; ; {
		i := strings.Index(s[from:], delimiter)
		if i < 0 {
			return -1
		}
		at := from + i
		escapes := 0
		for delimiter[0] == '"' && at-1-escapes >= 0 && s[at-1-escapes] == '\\' {
			escapes++
		}
		if escapes%2 == 0 {
			return at
		}
		from = at + 1
	}
}

// set sets a field of the record from its text.
func (r *record) set(k field, v string, zone *time.Location) (err error) {
	missing := v == "" || v == "-"
	number := func(unit float64) (float64, error) {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(n) || math.Abs(n*unit) > 4e18 {
			return 0, fmt.Errorf("%.40q is no number", v)
		}
		return n * unit, nil
	}
	switch k {
	case addr:
		r.client = v
		if a, err := netip.ParseAddr(strings.Trim(v, "[]")); err == nil {
			r.client = a.Unmap().String()
		}
	case timeLocal:
		r.timestamp, err = time.Parse("02/Jan/2006:15:04:05 -0700", strings.Trim(v, "[]"))
	case timeISO:
		if r.timestamp, err = time.Parse(time.RFC3339Nano, v); err == nil {
			break
		}
		if r.timestamp, err = time.Parse("2006-01-02T15:04:05-0700", v); err == nil {
			break
		}
		for _, layout := range []string{"2006-01-02T15:04:05.999999999", "2006-01-02 15:04:05.999999999"} {
			if r.timestamp, err = time.ParseInLocation(layout, strings.Replace(v, ",", ".", 1), zone); err == nil {
				r.lacksZone = true
				break
			}
		}
	case timeSec, timeMilli, timeMicro:
		var n float64
		unit := map[field]float64{timeSec: 1e6, timeMilli: 1e3, timeMicro: 1}[k]
		if n, err = number(unit); err == nil {
			r.timestamp = time.UnixMicro(int64(math.Round(n)))
		}
	case requestLine:
		parts := strings.Fields(v)
		if len(parts) < 2 {
			return fmt.Errorf("%.40q is not a request line", v)
		}
		r.method, r.target = parts[0], parts[1]
	case method:
		r.method = v
	case target:
		r.target = v
	case host:
		if !missing {
			r.host = v
		}
	case status:
		if r.status, err = strconv.Atoi(v); err != nil && !missing {
			return fmt.Errorf("%.40q is not a status", v)
		}
		err = nil
	case tookSec, tookMilli, tookMicro:
		if missing {
			return nil
		}
		var n float64
		unit := map[field]float64{tookSec: 1e9, tookMilli: 1e6, tookMicro: 1e3}[k]
		if n, err = number(unit); err == nil && n >= 0 {
			r.took = time.Duration(n)
		}
	case requestID:
		if !missing {
			r.id = v
		}
	case idempotencyKey:
		if !missing {
			r.key = v
		}
	case tenant:
		if !missing {
			r.tenant = v
		}
	case requestCost:
		if !missing {
			r.cost, _ = strconv.ParseInt(v, 10, 64)
		}
	case bodySize:
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 {
			r.size = n
		}
	}
	if err != nil {
		return fmt.Errorf("its time %.40q cannot be read", v)
	}
	return nil
}

var jsonFields = map[string]field{
	"addr": addr, "time": timeISO, "time_s": timeSec, "time_ms": timeMilli, "time_us": timeMicro, "request": requestLine, "method": method,
	"target": target, "host": host, "status": status, "took_s": tookSec, "took_ms": tookMilli, "took_us": tookMicro, "request_id": requestID,
	"key": idempotencyKey, "tenant": tenant, "cost_us": requestCost, "size": bodySize,
}

// jsonLog parses lines that are JSON objects.
type jsonLog struct {
	names      map[string]field // by name in the log; a dot separates nested names
	zone       *time.Location
	startTimes bool
}

// ParseJSON returns a parser for JSON lines from a field map such as "time=ts,method=req.method".
// startTimes means that times are start times, not end times.
func ParseJSON(fields string, startTimes bool, zone *time.Location) (LineParser, error) {
	p := &jsonLog{names: map[string]field{}, zone: zone, startTimes: startTimes}
	has := map[field]bool{}
	for _, part := range strings.Split(fields, ",") {
		name, from, ok := strings.Cut(strings.TrimSpace(part), "=")
		k, known := jsonFields[name]
		if !ok || !known || from == "" {
			return nil, fmt.Errorf("fields: %q is not of the form name=field with a known name", part)
		}
		p.names[from] = k
		has[k] = true
	}
	if !has[timeISO] && !has[timeSec] && !has[timeMilli] && !has[timeMicro] || !has[requestLine] && !(has[method] && has[target]) {
		return nil, errors.New("fields: they lack a time or a request")
	}
	return p, nil
}

// parse implements LineParser.
func (p *jsonLog) parse(line string) (record, error) {
	r := record{took: -1, size: -1, atStart: p.startTimes}
	d := json.NewDecoder(strings.NewReader(line))
	d.UseNumber()
	var m map[string]any
	if err := d.Decode(&m); err != nil {
		return r, fmt.Errorf("invalid JSON: %w", err)
	}
	for name, k := range p.names {
		v, ok := lookup(m, name)
		if !ok {
			continue
		}
		if err := r.set(k, v, p.zone); err != nil {
			return r, err
		}
	}
	if r.timestamp.IsZero() || r.target == "" || r.method == "" {
		return r, errors.New("it has no time or no request")
	}
	return r, nil
}

// lookup returns the value of a dotted name.
func lookup(m map[string]any, name string) (string, bool) {
	if v, ok := m[name]; ok {
		return scalarText(v)
	}
	first, rest, ok := strings.Cut(name, ".")
	if !ok {
		return "", false
	}
	inner, ok := m[first].(map[string]any)
	if !ok {
		return "", false
	}
	return lookup(inner, rest)
}

func scalarText(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case json.Number:
		return v.String(), true
	case bool:
		return strconv.FormatBool(v), true
	}
	return "", false
}

// Format selects how the lines of a log are parsed.
type Format struct {
	Name          string // common, combined or json
	Nginx, Apache string // in place of Name
	Fields        string // of json
	StartTimes    bool   // of json: times are start times
}

// NewParser returns a parser for the lines of a log. Times without a zone are interpreted in zone.
func NewParser(f Format, zone *time.Location) (LineParser, error) {
	switch {
	case f.Nginx != "" && f.Apache != "":
		return nil, errors.New("both a log_format and a LogFormat are set")
	case f.Nginx != "":
		return ParseNginx(f.Nginx, zone)
	case f.Apache != "":
		return ParseApache(f.Apache, zone)
	case f.Name == "common":
		return ParseApache(CommonLog, zone)
	case f.Name == "combined":
		return ParseApache(CombinedLog, zone)
	case f.Name == "json":
		return ParseJSON(f.Fields, f.StartTimes, zone)
	}
	return nil, fmt.Errorf("format: %q is not one of common, combined and json", f.Name)
}

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

// record is one request as a log has it.
type record struct {
	end      time.Time // when it was logged, or began, as began says
	began    bool
	took     time.Duration // -1: not logged
	method   string
	target   string
	host     string
	status   int
	id       string // its X-Request-ID
	key      string // its Idempotency-Key
	tenant   string
	client   string
	cost     int64
	size     int64 // of its body; -1: not logged
	body     []byte
	lacksEnd bool // its time has no zone of its own
}

// arrival is when the request came, as far as the log tells.
func (r *record) arrival() time.Time {
	if r.began || r.took < 0 {
		return r.end
	}
	return r.end.Add(-r.took)
}

// LineParser reads the lines of a log. It is made by Parser.
type LineParser interface {
	parse(line string) (record, error)
}

// field says what a part of a line is.
type field int

const (
	skipped field = iota
	addr
	timeLocal  // 10/Oct/2000:13:55:36 -0700
	timeISO    // 2000-10-10T13:55:36-07:00
	timeSec    // seconds since 1970, with a fraction
	timeMilli  // milliseconds since 1970
	timeMicro  // microseconds since 1970
	requestTop // GET /path HTTP/1.1
	method
	target
	host
	status
	tookSec
	tookMilli
	tookMicro
	requestID
	orderKey
	tenant
	workCost
	bodySize
)

// piece is a part of a line: what stands there, and the text behind it.
type piece struct {
	field  field
	behind string // empty: it goes on to the end
}

// lineFormat parses lines by their pieces.
type lineFormat struct {
	before string
	pieces []piece
	zone   *time.Location
	began  bool // times are those of the begin
}

// The usual formats, as Apache writes them.
const (
	CommonLog   = `%h %l %u %t "%r" %>s %b`
	CombinedLog = CommonLog + ` "%{Referer}i" "%{User-Agent}i"`
)

var nginxFields = map[string]field{
	"remote_addr": addr, "time_local": timeLocal, "time_iso8601": timeISO, "msec": timeSec, "request": requestTop, "request_method": method,
	"request_uri": target, "uri": target, "host": host, "http_host": host, "status": status, "request_time": tookSec, "request_id": requestID,
	"http_x_request_id": requestID, "http_idempotency_key": orderKey, "http_x_tenant_id": tenant, "http_x_cost": workCost, "content_length": bodySize,
	"http_content_length": bodySize,
}

var headerFields = map[string]field{
	"x-request-id": requestID, "idempotency-key": orderKey, "x-tenant-id": tenant, "x-cost": workCost, "content-length": bodySize, "host": host,
}

// ParseNginx reads a log_format string.
func ParseNginx(format string, zone *time.Location) (LineParser, error) {
	f := &lineFormat{zone: zone}
	rest := format
	i := strings.IndexByte(rest, '$')
	if i < 0 {
		return nil, errors.New("log_format: it names no variable")
	}
	f.before, rest = rest[:i], rest[i:]
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
			return nil, fmt.Errorf("log_format: no name behind a $ before %.20q", rest)
		}
		next := strings.IndexByte(rest, '$')
		if next < 0 {
			next = len(rest)
		}
		f.pieces = append(f.pieces, piece{nginxFields[name], rest[:next]})
		rest = rest[next:]
	}
	return f, f.check("log_format")
}

// ParseApache reads a LogFormat string.
func ParseApache(format string, zone *time.Location) (LineParser, error) {
	f := &lineFormat{zone: zone}
	format = strings.ReplaceAll(format, `\"`, `"`)
	i := strings.IndexByte(format, '%')
	if i < 0 {
		return nil, errors.New("LogFormat: it has no directive")
	}
	f.before = format[:i]
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
			return nil, errors.New("LogFormat: a % at its end")
		}
		directive := rest[0]
		rest = rest[1:]
		k, began, err := apacheField(directive, arg)
		if err != nil {
			return nil, err
		}
		f.began = f.began || began
		next := strings.IndexByte(rest, '%')
		if next < 0 {
			next = len(rest)
		}
		f.pieces = append(f.pieces, piece{k, rest[:next]})
		rest = rest[next:]
	}
	return f, f.check("LogFormat")
}

// apacheField returns what a directive stands for. Apache's time is that of the begin, unless it says otherwise.
func apacheField(directive byte, arg string) (k field, began bool, err error) {
	switch directive {
	case 'h', 'a':
		return addr, false, nil
	case 't':
		began = true
		if rest, ok := strings.CutPrefix(arg, "end:"); ok {
			arg, began = rest, false
		}
		arg = strings.TrimPrefix(arg, "begin:")
		switch arg {
		case "":
			return timeLocal, began, nil
		case "sec":
			return timeSec, began, nil
		case "msec":
			return timeMilli, began, nil
		case "usec":
			return timeMicro, began, nil
		case "%Y-%m-%dT%H:%M:%S%z":
			return timeISO, began, nil
		}
		return 0, false, fmt.Errorf("LogFormat: times as %%{%s}t are not read", arg)
	case 'r':
		return requestTop, false, nil
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

// check tells what a format lacks.
func (f *lineFormat) check(name string) error {
	has := map[field]bool{}
	for i, p := range f.pieces {
		has[p.field] = true
		if p.behind == "" && i < len(f.pieces)-1 {
			return fmt.Errorf("%s: two fields with nothing between cannot be told apart", name)
		}
	}
	switch {
	case !has[timeLocal] && !has[timeISO] && !has[timeSec] && !has[timeMilli] && !has[timeMicro]:
		return fmt.Errorf("%s: no time stands in it", name)
	case !has[requestTop] && !(has[method] && has[target]):
		return fmt.Errorf("%s: no request stands in it", name)
	}
	return nil
}

// parse is the method of parser.
func (f *lineFormat) parse(line string) (record, error) {
	r := record{took: -1, size: -1, began: f.began}
	rest, ok := strings.CutPrefix(line, f.before)
	if !ok {
		return r, errors.New("it does not begin as its format says")
	}
	for i, p := range f.pieces {
		value := rest
		if p.behind != "" {
			var at int
			if p.field == timeLocal && strings.HasPrefix(rest, "[") { // Apache's stands in brackets
				end := strings.IndexByte(rest, ']')
				if end < 0 {
					return r, errors.New("its time does not end")
				}
				at = end + 1
				if !strings.HasPrefix(rest[at:], p.behind) {
					return r, fmt.Errorf("no %q behind its time", p.behind)
				}
			} else if at = behindOf(rest, p.behind); at < 0 {
				return r, fmt.Errorf("field %d does not end", i+1)
			}
			value, rest = rest[:at], rest[at+len(p.behind):]
		} else {
			rest = ""
		}
		if err := r.set(p.field, value, f.zone); err != nil {
			return r, err
		}
	}
	return r, nil
}

// behindOf finds the text behind a field. A quote in what a client has sent is written with a backslash.
func behindOf(s, behind string) int {
	for from := 0; ; {
		i := strings.Index(s[from:], behind)
		if i < 0 {
			return -1
		}
		at := from + i
		escapes := 0
		for behind[0] == '"' && at-1-escapes >= 0 && s[at-1-escapes] == '\\' {
			escapes++
		}
		if escapes%2 == 0 {
			return at
		}
		from = at + 1
	}
}

// set takes a value of a line.
func (r *record) set(k field, v string, zone *time.Location) (err error) {
	none := v == "" || v == "-"
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
		r.end, err = time.Parse("02/Jan/2006:15:04:05 -0700", strings.Trim(v, "[]"))
	case timeISO:
		if r.end, err = time.Parse(time.RFC3339Nano, v); err == nil {
			break
		}
		if r.end, err = time.Parse("2006-01-02T15:04:05-0700", v); err == nil {
			break
		}
		for _, layout := range []string{"2006-01-02T15:04:05.999999999", "2006-01-02 15:04:05.999999999"} {
			if r.end, err = time.ParseInLocation(layout, strings.Replace(v, ",", ".", 1), zone); err == nil {
				r.lacksEnd = true
				break
			}
		}
	case timeSec, timeMilli, timeMicro:
		var n float64
		unit := map[field]float64{timeSec: 1e6, timeMilli: 1e3, timeMicro: 1}[k]
		if n, err = number(unit); err == nil {
			r.end = time.UnixMicro(int64(math.Round(n)))
		}
	case requestTop:
		parts := strings.Fields(v)
		if len(parts) < 2 {
			return fmt.Errorf("%.40q is no request", v)
		}
		r.method, r.target = parts[0], parts[1]
	case method:
		r.method = v
	case target:
		r.target = v
	case host:
		if !none {
			r.host = v
		}
	case status:
		if r.status, err = strconv.Atoi(v); err != nil && !none {
			return fmt.Errorf("%.40q is no status", v)
		}
		err = nil
	case tookSec, tookMilli, tookMicro:
		if none {
			return nil
		}
		var n float64
		unit := map[field]float64{tookSec: 1e9, tookMilli: 1e6, tookMicro: 1e3}[k]
		if n, err = number(unit); err == nil && n >= 0 {
			r.took = time.Duration(n)
		}
	case requestID:
		if !none {
			r.id = v
		}
	case orderKey:
		if !none {
			r.key = v
		}
	case tenant:
		if !none {
			r.tenant = v
		}
	case workCost:
		if !none {
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
	"addr": addr, "time": timeISO, "time_s": timeSec, "time_ms": timeMilli, "time_us": timeMicro, "request": requestTop, "method": method,
	"target": target, "host": host, "status": status, "took_s": tookSec, "took_ms": tookMilli, "took_us": tookMicro, "request_id": requestID,
	"key": orderKey, "tenant": tenant, "cost_us": workCost, "size": bodySize,
}

// jsonLog parses lines of JSON.
type jsonLog struct {
	names map[string]field // by the names in the log; a dot goes into an object
	zone  *time.Location
	began bool
}

// ParseJSON reads a field map such as "time=ts,method=req.method": what stands where. began tells that times are those of the begin.
func ParseJSON(fields string, began bool, zone *time.Location) (LineParser, error) {
	p := &jsonLog{names: map[string]field{}, zone: zone, began: began}
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
	if !has[timeISO] && !has[timeSec] && !has[timeMilli] && !has[timeMicro] || !has[requestTop] && !(has[method] && has[target]) {
		return nil, errors.New("fields: no time, or no request, stands in them")
	}
	return p, nil
}

// parse is the method of parser.
func (p *jsonLog) parse(line string) (record, error) {
	r := record{took: -1, size: -1, began: p.began}
	d := json.NewDecoder(strings.NewReader(line))
	d.UseNumber()
	var m map[string]any
	if err := d.Decode(&m); err != nil {
		return r, fmt.Errorf("no JSON: %w", err)
	}
	for name, k := range p.names {
		v, ok := lookUp(m, name)
		if !ok {
			continue
		}
		if err := r.set(k, v, p.zone); err != nil {
			return r, err
		}
	}
	if r.end.IsZero() || r.target == "" || r.method == "" {
		return r, errors.New("it lacks its time or request")
	}
	return r, nil
}

// lookUp finds a value by a name with dots.
func lookUp(m map[string]any, name string) (string, bool) {
	if v, ok := m[name]; ok {
		return text(v)
	}
	first, rest, ok := strings.Cut(name, ".")
	if !ok {
		return "", false
	}
	inner, ok := m[first].(map[string]any)
	if !ok {
		return "", false
	}
	return lookUp(inner, rest)
}

func text(v any) (string, bool) {
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

// Format says how the lines of a log are to be read.
type Format struct {
	Name          string // common, combined or json
	Nginx, Apache string // in place of Name
	Fields        string // of json
	StartTimes    bool   // of json: times are those of the begin
}

// NewParser returns what reads the lines of a log. Times without a zone are in zone.
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
	return nil, fmt.Errorf("format: %q is none of common, combined and json", f.Name)
}

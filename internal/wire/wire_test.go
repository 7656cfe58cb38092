package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"quillfront/policy"
	"quillfront/sites"
)

const settingsText = `{"GroupSize":1,"Ordinal":0,"Zone":"a","MembershipMode":"on_request","TickUs":5000,"Novel":[1],
"Limits":{"Cancelling":true,"MayDuplicate":true,"Probes":false,"SendCap":3,"DialTimeoutUs":120000},
"RequestClasses":[{"Name":"q","Effect":"read_like","Group":"all","AimUs":250000,"DeadlineUs":500000,"Worth":2}],
"Safety":{"AskEveryUs":10000000,"GraceToAnswerUs":20000,"RampTimeUs":7800000,"ColdFrom":0.32},
"Telemetry":{"Fields":["queue","latency_ms"],"Via":"on_probe"}}`

var openLine = oneLine(`{"AtTimeUs":10,"groups":[{"Sidecar":"sidecar/0","msgs":[
{"cmd":"OpenInstance","Salt":7,"Settings":` + settingsText + `},
{"cmd":"Pool","Page":0,"Lines":[{"Lifecycle":"on","Az":"a","Upstream":"10.0.0.1:80","CapacityHint":1,"Novel":3}]},
{"cmd":"BackendsChanged","How":"stale_copy","Version":1,"Page":0}]}]}`)

// oneLine removes the line breaks from s.
func oneLine(s string) string { return strings.ReplaceAll(s, "\n", "") }

// message returns a batch with one message to instance sidecar/0.
func message(msg string) string {
	return `{"AtTimeUs":20,"groups":[{"Sidecar":"sidecar/0","msgs":[` + msg + `]}]}`
}

func serve(lines ...string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out, nil)
	return out.String(), err
}

// TestServe verifies that every batch gets a reply line, also an empty one, and that request IDs of
// 52 bits keep their exact value.
func TestServe(t *testing.T) {
	demand := message(`{"cmd":"Demand","Corr":4503599627370495,"Item":"91f03b7c55d20a64","ExpiresUs":400020,"Type":"q"}`)
	got, err := serve(`{"AtTimeUs":1,"groups":[]}`, openLine, demand)
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSpace(got), "\n")
	if len(replies) != 3 || replies[0] != `{"groups":[]}` {
		t.Fatalf("replies = %q", replies)
	}
	want := `{"cmd":"Route","Corr":4503599627370495,"Upstream":"10.0.0.1:80","MaxWaitUs":245000}`
	if !strings.Contains(replies[2], want) {
		t.Errorf("reply %s lacks %s", replies[2], want)
	}
	if !strings.Contains(replies[1], `"cmd":"SetTimer"`) {
		t.Errorf("reply %s sets no timer to subscribe", replies[1])
	}
}

// TestServeBadInput verifies that malformed input yields an error that names the message or value
// at fault.
func TestServeBadInput(t *testing.T) {
	tests := []struct{ name, line, want string }{
		{"malformed JSON", `{"AtTimeUs":`, "batch"},
		{"no time", `{"groups":[]}`, "AtTimeUs"},
		{"unknown message", message(`{"cmd":"Hurray"}`), `"Hurray"`},
		{"closed instance", `{"AtTimeUs":2,"groups":[{"Sidecar":"sidecar/9","msgs":[{"cmd":"Halt"}]}]}`, "sidecar/9"},
		{"unknown outcome", message(`{"cmd":"ReportBack","Corr":1,"Disposition":"lucky"}`), `"lucky"`},
		{"unknown list kind", message(`{"cmd":"BackendsChanged","How":"hearsay"}`), `"hearsay"`},
		{"list out of range", message(`{"cmd":"Pool","Page":16}`), `"Pool"`},
		{"unknown state", message(`{"cmd":"Pool","Lines":[{"Lifecycle":"odd"}]}`), `"odd"`},
		{"config out of range", message(`{"cmd":"OpenInstance","Settings":{"GroupSize":0}}`), "OpenInstance"},
		{"unknown effect", message(`{"cmd":"OpenInstance","Settings":{"RequestClasses":[{"Effect":"odd"}]}}`), `"odd"`},
	}
	for _, tt := range tests {
		if _, err := serve(openLine, tt.line); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one that names %s", tt.name, err, tt.want)
		}
	}
}

// TestUnknownRequestsAndFieldsAreSkipped verifies that events for unknown requests, servers or
// timers, and unknown fields, are ignored without a Fault.
func TestUnknownRequestsAndFieldsAreSkipped(t *testing.T) {
	for _, msg := range []string{
		`{"cmd":"ReportBack","Corr":99,"Shot":0,"Disposition":"delivered","Upstream":"10.9.9.9:1","Novel":true}`,
		`{"cmd":"Withdrawn","Corr":99}`, `{"cmd":"Opened","Corr":99}`, `{"cmd":"DeadlineHit","Ctx":"???"}`,
		`{"cmd":"HealthResult","Upstream":"10.9.9.9:1","Disposition":"delivered","Metrics":[1]}`,
		`{"cmd":"Memo","Neighbour":3,"Msg":"AAAA"}`, `{"cmd":"BackendsChanged","How":"broken"}`,
	} {
		if got, err := serve(openLine, message(msg)); err != nil || strings.Contains(got, "Fault") {
			t.Errorf("%s: %v, %s", msg, err, got)
		}
	}
}

// TestPanicBecomesFault verifies that a panic during an event yields a Fault action instead of
// ending the process.
func TestPanicBecomesFault(t *testing.T) {
	h := &host{instances: map[string]*instance{"sidecar/0": {}}} // no balancer: any event panics
	got, err := h.dispatch(0, "sidecar/0", &event{Cmd: "Demand"})
	if err != nil || len(got) != 1 || got[0].Cmd != "Fault" || !strings.Contains(got[0].Text, "Demand") {
		t.Errorf("got %+v, %v; want a Fault that names the event", got, err)
	}
}

// TestActionsEncoding verifies the JSON form of every action, including zero values that must be
// present.
func TestActionsEncoding(t *testing.T) {
	i := &instance{}
	i.Send(5, "10.0.0.1:80", 80*time.Millisecond)
	i.Refuse(5, time.Second)
	i.Fail(6)
	i.Cancel(5, 0)
	i.SetTimer(0, "x")
	i.Probe("10.0.0.1:80")
	i.CloseIdle("10.0.0.1:80")
	i.Watch(false)
	i.Log("hello")
	text, err := json.Marshal(i.actions)
	if err != nil {
		t.Fatal(err)
	}
	want := `[{"cmd":"Route","Corr":5,"Upstream":"10.0.0.1:80","MaxWaitUs":80000},` +
		`{"cmd":"OverloadReply","Corr":5,"StayAwayUs":1000000},{"cmd":"Lose","Corr":6},` +
		`{"cmd":"DropAttempt","Corr":5,"Shot":0},{"cmd":"SetTimer","AfterUs":0,"Ctx":"x"},` +
		`{"cmd":"Ping","Upstream":"10.0.0.1:80"},{"cmd":"HangUp","Upstream":"10.0.0.1:80"},` +
		`{"cmd":"KeepInformed","Active":false},{"cmd":"JournalLine","Text":"hello"}]`
	if string(text) != want {
		t.Errorf("actions = %s\nwant      %s", text, want)
	}
}

// TestLoadReport verifies that load values are assigned by field name, that missing ones are -1,
// and that unknown fields are ignored.
func TestLoadReport(t *testing.T) {
	tests := []struct {
		fields []string
		row    []float64
		want   *policy.Load
	}{
		{[]string{"queue", "latency_ms"}, nil, nil},
		{[]string{"queue", "latency_ms"}, []float64{3, 40}, &policy.Load{Queue: 3, Inflight: -1, Latency: 40, ErrorRate: -1}},
		{[]string{"eps", "queue"}, []float64{2}, &policy.Load{Queue: -1, Inflight: -1, Latency: -1, ErrorRate: 2}},
		{[]string{"inflight", "util"}, []float64{4, 0.5}, &policy.Load{Queue: -1, Inflight: 4, Latency: -1, ErrorRate: -1}},
	}
	for _, tt := range tests {
		i := &instance{loadFields: tt.fields}
		if got := i.parseLoad(tt.row); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("load(%v) of %v = %+v, want %+v", tt.row, tt.fields, got, tt.want)
		}
	}
}

// TestSitesWatched verifies that instances apply the rules of the site configuration, if there is
// one.
func TestSitesWatched(t *testing.T) {
	demand := message(`{"cmd":"Demand","Corr":1,"Item":"k","ExpiresUs":400020,"Type":"q"}`)
	for _, tt := range []struct {
		siteConfig *sites.Config
		want       string
	}{
		{nil, `"cmd":"Route"`},
		{&sites.Config{}, `"cmd":"Route"`},
		{&sites.Config{Rules: []sites.Rule{{Tiers: []sites.Tier{{Sites: []string{"elsewhere"}}}}}}, `"cmd":"OverloadReply"`},
	} {
		var out strings.Builder
		if err := Serve(strings.NewReader(openLine+"\n"+demand+"\n"), &out, tt.siteConfig); err != nil || !strings.Contains(out.String(), tt.want) {
			t.Errorf("%v: %v, %s lacks %s", tt.siteConfig, err, out.String(), tt.want)
		}
	}
}

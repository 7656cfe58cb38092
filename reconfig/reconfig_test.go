package reconfig

import (
	"strings"
	"testing"
	"time"

	"quillfront/policy"
)

// TestCheckComplete: a missing key is named at any depth, and so is a value of another type. Other
// differences are accepted.
func TestCheckComplete(t *testing.T) {
	const running = `{"name":"n","limits":{"sockets":64},"settings":{"Limits":{"SendCap":3},"RequestClasses":[
{"Name":"a","DeadlineUs":1,"KeyTtlUs":5},{"Name":"b","DeadlineUs":2}],"Localities":["x"],"None":[],"Null":null}}`
	for _, tt := range []struct{ old, new, want string }{
		{"", "", ""},
		{`"SendCap":3`, `"SendCap":9,"More":{}`, ""},
		{`,"KeyTtlUs":5`, ``, ""},
		{`{"Name":"b","DeadlineUs":2}`, `{"Name":"c","DeadlineUs":7},{"Name":"d","DeadlineUs":8}`, ""},
		{`,{"Name":"b","DeadlineUs":2}`, ``, ""},
		{`"Localities":["x"]`, `"Localities":[]`, ""},
		{`"SendCap":3`, ``, "settings.Limits.SendCap"},
		{`"Limits":{"SendCap":3},`, ``, "settings.Limits"},
		{`"name":"n",`, ``, "name"},
		{`"DeadlineUs":2`, `"AimUs":2`, "settings.RequestClasses[1].DeadlineUs"},
		{`"SendCap":3`, `"SendCap":"3"`, "settings.Limits.SendCap is a string"},
		{`{"SendCap":3}`, `3`, "settings.Limits is no object"},
		{`["x"]`, `"x"`, "settings.Localities is no list"},
		{`"Localities":["x"],`, ``, "settings.Localities"},
		{`"Null":null}}`, ``, "unexpected end"},
	} {
		err := CheckComplete([]byte(running), []byte(strings.Replace(running, tt.old, tt.new, 1)))
		if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s replaced by %s: %v, want %q", tt.old, tt.new, err, tt.want)
		}
	}
}

// TestNewChange checks which rules apply after changes of one class until all clients use the new
// ones.
func TestNewChange(t *testing.T) {
	cfg := func(attempts int, classes ...policy.Class) policy.Config {
		return policy.Config{MaxAttempts: attempts, Classes: classes}
	}
	safe := policy.Class{Name: "a", Effect: policy.Safe}
	unsafe := policy.Class{Name: "a", Effect: policy.Unsafe}
	keyed := func(g policy.Group, ttl time.Duration) policy.Class {
		return policy.Class{Name: "a", Effect: policy.Keyed, Group: g, KeyTTL: ttl}
	}
	previous := func(c policy.Class) policy.Class { c.Name += PreviousSuffix; return c }
	for i, tt := range []struct {
		running, updated, want policy.Config
		hasInterim             bool
	}{
		{cfg(3, safe), cfg(3, safe), cfg(3, safe), false},
		{cfg(3, safe), cfg(2, safe), cfg(2, safe), false},
		{cfg(2, safe), cfg(3, safe), cfg(2, safe), true},
		{cfg(3, safe), cfg(3), cfg(3, safe), true},
		{cfg(3), cfg(3, safe), cfg(3, safe), false},
		{cfg(3, safe), cfg(3, unsafe), cfg(3, unsafe, previous(safe)), true},
		{cfg(3, safe, previous(unsafe)), cfg(3, safe), cfg(3, safe), false},
		{cfg(3, keyed(policy.GroupAll, 5)), cfg(3, keyed(policy.GroupZone, 9)), cfg(3, keyed(policy.GroupZone, 5)), true},
		{cfg(3, keyed(policy.GroupZone, 9)), cfg(3, keyed(policy.GroupAll, 5)), cfg(3, keyed(policy.GroupZone, 5)), true},
		{cfg(3, keyed(policy.GroupZone, 9)), cfg(3, keyed(policy.GroupCell, 5)), cfg(3, keyed(policy.GroupCell, 0)), true},
		{cfg(3, keyed(policy.GroupAll, 9)), cfg(3, keyed(policy.GroupAll, 5)), cfg(3, keyed(policy.GroupAll, 5)), false},
	} {
		c := NewChange(tt.running, tt.updated)
		same := len(c.Interim.Classes) == len(tt.want.Classes) && c.Interim.MaxAttempts == tt.want.MaxAttempts && c.HasInterim == tt.hasInterim
		for j := range min(len(c.Interim.Classes), len(tt.want.Classes)) {
			same = same && c.Interim.Classes[j] == tt.want.Classes[j]
		}
		if !same || len(c.Final.Classes) != len(tt.updated.Classes) || c.Final.MaxAttempts != tt.updated.MaxAttempts {
			t.Errorf("case %d: %+v, want Interim %+v and HasInterim %v", i, c, tt.want, tt.hasInterim)
		}
	}
}

// Package wire implements the simulator's line protocol. It decodes batches of events, passes them
// to the policy instances that it hosts, and encodes the resulting actions. It makes no decisions
// of its own.
package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"time"

	"quillfront/internal/settings"
	"quillfront/internal/sitewatch"
	"quillfront/policy"
	"quillfront/sites"
)

// Serve reads batches from r, one per line, and writes a reply line to w for each, until r ends.
// siteConfig is the validated configuration of site monitoring; nil disables it. Serve returns an
// error if reading or writing fails, or if the input is malformed; that error names the invalid
// message.
func Serve(r io.Reader, w io.Writer, siteConfig *sites.Config) error {
	h := &host{instances: map[string]*instance{}, siteConfig: siteConfig}
	in := bufio.NewReaderSize(r, 1<<20)
	for {
		line, err := in.ReadBytes('\n')
		if text := bytes.TrimSpace(line); len(text) > 0 {
			out, err := h.handleBatch(text)
			if err != nil {
				return err
			}
			if _, err := w.Write(out); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// batch is a line of input: events that occur at the same time, grouped by instance.
type batch struct {
	AtTimeUs *int64  `json:"AtTimeUs"`
	Groups   []group `json:"groups"`
}

// group holds the events of one instance.
type group struct {
	Sidecar string  `json:"Sidecar"`
	Msgs    []event `json:"msgs"`
}

// event holds the fields of all kinds of events; Cmd determines which are set.
type event struct {
	Cmd         string          `json:"cmd"`
	Salt        uint64          `json:"Salt"`
	Settings    json.RawMessage `json:"Settings"`
	Page        int             `json:"Page"`
	Lines       []listEntry     `json:"Lines"`
	How         string          `json:"How"`
	Corr        uint64          `json:"Corr"`
	CostUs      int64           `json:"CostUs"`
	ExpiresUs   int64           `json:"ExpiresUs"`
	IsRetry     bool            `json:"IsRetry"`
	Item        string          `json:"Item"`
	Project     any             `json:"Project"` // the tenant's name, or 0 where there are no tenants
	Type        string          `json:"Type"`
	Shot        int             `json:"Shot"`
	Terminal    bool            `json:"Terminal"`
	Disposition string          `json:"Disposition"`
	DelaySeenUs int64           `json:"DelaySeenUs"`
	Upstream    string          `json:"Upstream"`
	Metrics     []float64       `json:"Metrics"`
	Ctx         string          `json:"Ctx"`
}

// listEntry is a server in a server list.
type listEntry struct {
	LastStartUs  int64   `json:"LastStartUs"`
	CapacityHint float64 `json:"CapacityHint"`
	Lifecycle    string  `json:"Lifecycle"`
	Az           string  `json:"Az"`
	Upstream     string  `json:"Upstream"`
	UnitGroup    int     `json:"UnitGroup"`
}

// reply is a line of output: the actions that answer a batch.
type reply struct {
	Groups []actionGroup `json:"groups"`
}

// actionGroup holds the actions of one instance.
type actionGroup struct {
	Sidecar string   `json:"Sidecar"`
	Orders  []action `json:"orders"`
}

// action holds the fields of all kinds of actions; Cmd determines which are set.
type action struct {
	Cmd        string            `json:"cmd"`
	Corr       *policy.RequestID `json:"Corr,omitempty"` // a pointer, because 0 is a valid ID
	Upstream   policy.ServerID   `json:"Upstream,omitzero"`
	MaxWaitUs  int64             `json:"MaxWaitUs,omitzero"`
	StayAwayUs int64             `json:"StayAwayUs,omitzero"`
	Shot       *int              `json:"Shot,omitempty"`
	AfterUs    *int64            `json:"AfterUs,omitempty"`
	Ctx        string            `json:"Ctx,omitzero"`
	Active     *bool             `json:"Active,omitempty"`
	Text       string            `json:"Text,omitzero"`
}

var statuses = map[string]policy.Status{
	"delivered": policy.OK, "app_error": policy.AppError, "shed": policy.Overloaded, "expired": policy.Timeout,
	"dial_failed": policy.ConnectFailed, "dropped": policy.Reset, "revoked": policy.Canceled, "unused": policy.NotSent,
}

var serverStates = map[string]policy.ServerState{"on": policy.Ready, "fading": policy.Draining, "off": policy.Gone}

var listKinds = map[string]policy.ListKind{
	"patch": policy.ListDelta, "whole": policy.ListFull, "stale_copy": policy.ListCached, "broken": policy.ListFailed,
}

// host holds the instances of the process and the server lists that they refer to by number.
type host struct {
	instances  map[string]*instance
	lists      [16][]policy.Server
	siteConfig *sites.Config
}

// openInstance creates an instance with the settings of an OpenInstance event.
func openInstance(now policy.Time, e *event, siteConfig *sites.Config) (*instance, error) {
	s, err := settings.Parse(e.Settings)
	if err != nil {
		return nil, err
	}
	b, err := policy.New(s.Config, e.Salt)
	if err != nil {
		return nil, err
	}
	inst := &instance{balancer: b, sites: sitewatch.New(b, slog.New(slog.DiscardHandler)), loadFields: s.LoadFields}
	if err := inst.sites.Configure(now, siteConfig, s.Config); err != nil {
		return nil, err
	}
	return inst, nil
}

// instance is a hosted balancer with the actions it has taken during the present event. It
// implements policy.Actions.
type instance struct {
	balancer   *policy.Balancer
	sites      *sitewatch.Watcher
	loadFields []string // names of the values in a load report, in order
	actions    []action
}

func (h *host) handleBatch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if b.AtTimeUs == nil {
		return nil, fmt.Errorf("batch: no AtTimeUs in %.80q", line)
	}
	out := reply{Groups: []actionGroup{}}
	for _, g := range b.Groups {
		var actions []action
		for i := range g.Msgs {
			got, err := h.dispatch(settings.Micros(*b.AtTimeUs), g.Sidecar, &g.Msgs[i])
			if err != nil {
				return nil, fmt.Errorf("message %q to %s: %w", g.Msgs[i].Cmd, g.Sidecar, err)
			}
			actions = append(actions, got...)
		}
		if len(actions) > 0 {
			out.Groups = append(out.Groups, actionGroup{g.Sidecar, actions})
		}
	}
	text, err := json.Marshal(out)
	return append(text, '\n'), err
}

// dispatch passes one event to its instance and returns the resulting actions. A panic of the
// module becomes a Fault action.
func (h *host) dispatch(now policy.Time, name string, e *event) (got []action, err error) {
	if e.Cmd == "Pool" {
		return nil, h.storeList(e)
	}
	if e.Cmd == "OpenInstance" {
		inst, err := openInstance(now, e, h.siteConfig)
		if err == nil {
			h.instances[name] = inst
		}
		return nil, err
	}
	if !instanceCommands[e.Cmd] {
		return nil, fmt.Errorf("unknown message")
	}
	inst := h.instances[name]
	if inst == nil {
		return nil, fmt.Errorf("instance is not open")
	}
	if e.Cmd == "Halt" {
		delete(h.instances, name)
		return nil, nil
	}
	defer func() {
		if p := recover(); p != nil {
			got = []action{{Cmd: "Fault", Text: fmt.Sprintf("%s: %v", e.Cmd, p)}}
		}
	}()
	inst.actions = nil
	err = h.deliver(now, inst, e)
	return inst.actions, err
}

// instanceCommands are the commands that require an open instance.
var instanceCommands = map[string]bool{
	"Halt": true, "BackendsChanged": true, "Demand": true, "Opened": true, "ReportBack": true, "Withdrawn": true,
	"DeadlineHit": true, "HealthResult": true, "Memo": true,
}

func (h *host) deliver(now policy.Time, inst *instance, e *event) error {
	b := inst.balancer
	switch e.Cmd {
	case "BackendsChanged":
		kind, ok := listKinds[e.How]
		if !ok {
			return fmt.Errorf("unknown list kind %q", e.How)
		}
		var lines []policy.Server
		if kind != policy.ListFailed {
			if e.Page < 0 || e.Page >= len(h.lists) {
				return fmt.Errorf("no list %d", e.Page)
			}
			lines = h.lists[e.Page]
		}
		inst.sites.UpdateServers(now, kind, lines)
		b.UpdateServers(now, kind, lines, inst)
	case "Demand":
		tenant, _ := e.Project.(string)
		inst.sites.Tick(now)
		b.Request(now, policy.Request{
			ID: policy.RequestID(e.Corr), Class: e.Type, Tenant: tenant, Key: e.Item, Cost: settings.Micros(e.CostUs),
			Retry: e.IsRetry, Expires: settings.Micros(e.ExpiresUs),
		}, inst)
	case "Opened":
		b.ResponseStarted(now, policy.RequestID(e.Corr), e.Shot, inst)
	case "ReportBack", "HealthResult":
		status, ok := statuses[e.Disposition]
		if !ok {
			return fmt.Errorf("unknown outcome %q", e.Disposition)
		}
		server, delay, load := policy.ServerID(e.Upstream), settings.Micros(e.DelaySeenUs), inst.parseLoad(e.Metrics)
		inst.sites.RecordOutcome(now, server, status)
		if e.Cmd == "HealthResult" {
			b.Probed(now, policy.ProbeResult{Server: server, Status: status, Delay: delay, Load: load}, inst)
			return nil
		}
		b.Outcome(now, policy.Outcome{
			ID: policy.RequestID(e.Corr), Attempt: e.Shot, Server: server, Status: status, Delay: delay,
			Final: e.Terminal, Load: load,
		}, inst)
	case "Withdrawn":
		b.ClientDisconnected(now, policy.RequestID(e.Corr), inst)
	case "DeadlineHit":
		b.Timer(now, e.Ctx, inst)
	}
	return nil
}

func (h *host) storeList(e *event) error {
	if e.Page < 0 || e.Page >= len(h.lists) {
		return fmt.Errorf("list number %d out of range", e.Page)
	}
	lines := make([]policy.Server, len(e.Lines))
	for i, l := range e.Lines {
		state, ok := serverStates[l.Lifecycle]
		if !ok {
			return fmt.Errorf("unknown state %q of %s", l.Lifecycle, l.Upstream)
		}
		lines[i] = policy.Server{
			ID: policy.ServerID(l.Upstream), State: state, Zone: l.Az, Cell: l.UnitGroup,
			Weight: l.CapacityHint, Started: settings.Micros(l.LastStartUs),
		}
	}
	h.lists[e.Page] = lines
	return nil
}

// parseLoad converts the values of a load report according to the configured field names. It
// returns nil if there are no values.
func (i *instance) parseLoad(row []float64) *policy.Load {
	if len(row) == 0 {
		return nil
	}
	l := settings.EmptyLoad()
	for k, v := range row[:min(len(row), len(i.loadFields))] {
		settings.SetLoadField(&l, i.loadFields[k], v)
	}
	return &l
}

// The methods below implement policy.Actions.

func (i *instance) add(o action) { i.actions = append(i.actions, o) }

func (i *instance) Send(id policy.RequestID, s policy.ServerID, timeout time.Duration) {
	i.add(action{Cmd: "Route", Corr: &id, Upstream: s, MaxWaitUs: timeout.Microseconds()})
}

func (i *instance) Refuse(id policy.RequestID, retryAfter time.Duration) {
	i.add(action{Cmd: "OverloadReply", Corr: &id, StayAwayUs: retryAfter.Microseconds()})
}

func (i *instance) Fail(id policy.RequestID) { i.add(action{Cmd: "Lose", Corr: &id}) }

func (i *instance) Cancel(id policy.RequestID, attempt int) {
	i.add(action{Cmd: "DropAttempt", Corr: &id, Shot: &attempt})
}

func (i *instance) SetTimer(after time.Duration, token string) {
	us := max(0, after.Microseconds())
	i.add(action{Cmd: "SetTimer", AfterUs: &us, Ctx: token})
}

func (i *instance) Probe(s policy.ServerID) { i.add(action{Cmd: "Ping", Upstream: s}) }

func (i *instance) CloseIdle(s policy.ServerID) { i.add(action{Cmd: "HangUp", Upstream: s}) }

func (i *instance) Watch(on bool) { i.add(action{Cmd: "KeepInformed", Active: &on}) }

func (i *instance) Log(text string) { i.add(action{Cmd: "JournalLine", Text: text}) }

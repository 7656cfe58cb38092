package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"heathstack/internal/settings"
	"heathstack/policy"
)

const (
	// probeTimeout is how long a probe may take: an upstream may vanish without a word.
	probeTimeout = 400 * time.Millisecond
	// mostProbes bounds the probes under way; one beyond it counts as never sent.
	mostProbes = 64
	// mostReport bounds the body of a probe's answer.
	mostReport = 4 << 10
	// mostLoad is the highest figure of a report that is taken for real.
	mostLoad = 1e9
)

// Probe is a method of policy.Actions.
func (h *host) Probe(server policy.ServerID) {
	sent := h.now()
	to, listed := h.dials[server]
	if !listed || h.probing >= mostProbes {
		h.after = append(h.after, func(now policy.Time) {
			h.balancer.Probed(now, policy.ProbeResult{Server: server, Status: policy.Moot}, h)
		})
		return
	}
	h.probing++
	go func() {
		status, load := h.probe(to)
		h.event(func(now policy.Time) {
			h.probing--
			h.balancer.Probed(now, policy.ProbeResult{Server: server, Status: status, Delay: now - sent, Load: load}, h)
		})
	}()
}

// probe asks an upstream for its load.
func (h *host) probe(to dial) (policy.Status, *policy.Load) {
	c, err := h.up.connect(context.Background(), to, time.Now().Add(probeTimeout))
	if errors.Is(err, errNoSocket) {
		return policy.Moot, nil
	}
	if err != nil {
		return policy.ConnectFailed, nil
	}
	resp, err := c.exchange(&http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/load"}, Host: to.addr})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, mostReport))
	}
	var notWritten errNotWritten
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Close()
		return policy.Timeout, nil
	case errors.As(err, &notWritten):
		c.Close()
		return policy.ConnectFailed, nil
	default:
		c.Close()
		return policy.Reset, nil
	}
	if resp.Close || len(body) == mostReport {
		c.Close()
	} else {
		h.up.keep(c)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.OK, parseLoad(string(body), h.settings.Fields)
	case http.StatusServiceUnavailable:
		return policy.Full, nil
	}
	return policy.AppError, nil
}

// parseLoad reads a report such as "TEXT queue=2, util=0.61" by the names of its fields. It returns nil if
// there is nothing in it that can be read.
func parseLoad(text string, fields []string) *policy.Load {
	text = strings.TrimSpace(text)
	if format, rest, ok := strings.Cut(text, " "); ok && !strings.ContainsAny(format, "=,") {
		text = rest
	}
	load, found := settings.NoLoad(), false
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if name = strings.TrimSpace(name); !ok || !slices.Contains(fields, name) {
			continue
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(v >= 0 && v <= mostLoad) { // guards against NaN too
			continue
		}
		settings.Set(&load, name, v)
		found = true
	}
	if !found {
		return nil
	}
	return &load
}

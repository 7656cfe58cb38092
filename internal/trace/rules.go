package trace

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Rules say what is made of records.
type Rules struct {
	Classes      []ClassRule
	KeepQuery    []string      // parameters that are kept; nil: none
	KeepBodies   bool          // of requests are kept, where there are any
	RetryWindow  time.Duration // how long after its first a retry may come; 30 s
	InferRetries []string      // classes whose retries are looked for by client, path and size where no key is logged
	Zone         *time.Location
	MaxSkew      time.Duration // most that a clock is held to be wrong; 10 min
}

// ClassRule gives a class to what it matches. Empty fields match all; the first rule holds.
type ClassRule struct {
	Class  string
	Method string
	Host   string
	Path   *regexp.Regexp // of the whole path; a group named key is the request's key
}

const (
	usualRetry = 30 * time.Second
	usualSkew  = 10 * time.Minute
)

type rulesFile struct {
	Classes []struct {
		Class  string `toml:"class"`
		Method string `toml:"method"`
		Host   string `toml:"host"`
		Path   string `toml:"path"`
	} `toml:"classes"`
	Query  []string `toml:"keep_query"`
	Bodies bool     `toml:"keep_bodies"`
	Retry  string   `toml:"retry_window"`
	Orders []string `toml:"orders"`
	Zone   string   `toml:"zone"`
	Skew   string   `toml:"most_skew"`
}

// LoadRules reads a file of rules, strictly. With an empty path the first part of a path is its class.
func LoadRules(path string) (Rules, error) {
	r := Rules{RetryWindow: usualRetry, MaxSkew: usualSkew, Zone: time.UTC}
	if path == "" {
		return r, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	var f rulesFile
	meta, err := toml.Decode(string(text), &f)
	if err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return r, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	for _, d := range []struct {
		key, text string
		to        *time.Duration
	}{{"retry_window", f.Retry, &r.RetryWindow}, {"most_skew", f.Skew, &r.MaxSkew}} {
		if d.text == "" {
			continue
		}
		if *d.to, err = time.ParseDuration(d.text); err != nil || *d.to < 0 {
			return r, fmt.Errorf("%s: %s: %q is no time such as \"30s\"", path, d.key, d.text)
		}
	}
	if f.Zone != "" {
		if r.Zone, err = time.LoadLocation(f.Zone); err != nil {
			return r, fmt.Errorf("%s: zone: %w", path, err)
		}
	}
	for i, c := range f.Classes {
		if c.Class == "" {
			return r, fmt.Errorf("%s: classes: number %d has no class", path, i+1)
		}
		rule := ClassRule{Class: c.Class, Method: c.Method, Host: c.Host}
		if c.Path != "" {
			if rule.Path, err = regexp.Compile("^(?:" + c.Path + ")$"); err != nil {
				return r, fmt.Errorf("%s: classes: number %d: path: %w", path, i+1, err)
			}
		}
		r.Classes = append(r.Classes, rule)
	}
	r.KeepQuery, r.KeepBodies, r.InferRetries = f.Query, f.Bodies, f.Orders
	return r, nil
}

// errNoClass tells that no rule matches.
var errNoClass = errors.New("no rule gives it a class")

// classify returns a request's class, its path with the parameters that are kept, and the key that its path tells.
func (r *Rules) classify(method, host, target string) (class, path, key string, err error) {
	u, err := url.ParseRequestURI(strings.ToValidUTF8(target, "\uFFFD"))
	if err != nil {
		return "", "", "", errors.New("its target cannot be read")
	}
	if u.Host != "" {
		host = u.Host
	}
	path = u.EscapedPath()
	if path == "" || path[0] != '/' {
		return "", "", "", errors.New("its target has no path")
	}
	if len(r.Classes) == 0 {
		class, _, _ = strings.Cut(path[1:], "/")
	}
	for _, c := range r.Classes {
		if c.Method != "" && !strings.EqualFold(c.Method, method) || c.Host != "" && !strings.EqualFold(c.Host, host) {
			continue
		}
		if c.Path != nil {
			m := c.Path.FindStringSubmatch(path)
			if m == nil {
				continue
			}
			if i := c.Path.SubexpIndex("key"); i > 0 {
				key = m[i]
			}
		}
		class = c.Class
		break
	}
	if class == "" {
		return "", "", "", errNoClass
	}
	kept := url.Values{}
	for name, values := range u.Query() {
		if slices.Contains(r.KeepQuery, name) {
			kept[name] = values
		}
	}
	if len(kept) > 0 {
		path += "?" + kept.Encode()
	}
	return class, path, key, nil
}

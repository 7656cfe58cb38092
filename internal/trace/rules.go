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

// Rules configures how records become entries.
type Rules struct {
	Classes      []ClassRule
	KeepQuery    []string      // query parameters to keep; nil: none
	KeepBodies   bool          // keep request bodies that were recorded
	RetryWindow  time.Duration // maximum time from a first try to its retry; 30 s
	InferRetries []string      // classes matched by client, path and size if no key is logged
	Zone         *time.Location
	MaxSkew      time.Duration // maximum clock skew that is corrected; 10 min
}

// ClassRule assigns a class to the requests that it matches. Empty fields match everything; the
// first matching rule applies.
type ClassRule struct {
	Class  string
	Method string
	Host   string
	Path   *regexp.Regexp // matches the whole path; its group "key" captures a key
}

const (
	defaultRetryWindow = 30 * time.Second
	defaultMaxSkew     = 10 * time.Minute
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

// LoadRules reads a TOML file of rules. Unknown keys are errors. With an empty path it returns the
// defaults, by which the first segment of a request's path is its class.
func LoadRules(path string) (Rules, error) {
	r := Rules{RetryWindow: defaultRetryWindow, MaxSkew: defaultMaxSkew, Zone: time.UTC}
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
			return r, fmt.Errorf("%s: %s: %q is not a duration such as \"30s\"", path, d.key, d.text)
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

// errNoClass means that no rule matches a request.
var errNoClass = errors.New("no rule matches it")

// classify returns the class of a request, its path with the query parameters to keep, and the key
// captured from its path.
func (r *Rules) classify(method, host, target string) (class, path, key string, err error) {
	u, err := url.ParseRequestURI(strings.ToValidUTF8(target, "\uFFFD"))
	if err != nil {
		return "", "", "", errors.New("its request target is invalid")
	}
	if u.Host != "" {
		host = u.Host
	}
	path = u.EscapedPath()
	if path == "" || path[0] != '/' {
		return "", "", "", errors.New("its request target has no path")
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

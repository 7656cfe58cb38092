package trace

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"sort"
	"strings"
	"time"
)

// harEntry holds the fields that are read of an entry of a HAR 1.2 file. Headers, cookies and
// contents of responses are skipped.
type harEntry struct {
	Started string  `json:"startedDateTime"`
	Time    float64 `json:"time"`
	Page    string  `json:"pageref"`
	Request struct {
		Method  string `json:"method"`
		URL     string `json:"url"`
		Headers []struct {
			Name  string `json:"name"`
			Value string `json:"value"`
		} `json:"headers"`
		BodySize int64 `json:"bodySize"`
		PostData *struct {
			Text     string `json:"text"`
			Encoding string `json:"encoding"`
		} `json:"postData"`
	} `json:"request"`
	Response struct {
		Status      int    `json:"status"`
		RedirectURL string `json:"redirectURL"`
	} `json:"response"`
}

// HARNotes counts what the HAR files of an import contained.
type HARNotes struct {
	Entries, Pages, Aborted, Redirects, Bodies, Truncated int
}

// maxEntries is the maximum number of entries of a HAR file. They are sorted in memory, which holds
// only the fields that are kept of each.
const maxEntries = 2_000_000

// readHAR reads a HAR file, calls fault for each entry that cannot be read, and returns the records
// sorted by time. A truncated file yields the records before the truncation.
func readHAR(r io.Reader, client string, bodies bool, fault func(entry int, why error)) ([]record, HARNotes, error) {
	var notes HARNotes
	plain, err := inflate(r)
	if err != nil {
		return nil, notes, err
	}
	b := bufio.NewReaderSize(plain, 64<<10)
	if bom, _ := b.Peek(3); bytes.Equal(bom, []byte{0xef, 0xbb, 0xbf}) { // UTF-8 byte order mark
		b.Discard(3)
	}
	d := json.NewDecoder(b)
	if err := enterObject(d, "log"); err != nil {
		return nil, notes, fmt.Errorf("not a HAR file: %w", err)
	}
	var records []record
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, notes, fmt.Errorf("not a HAR file: %w", err)
		}
		switch key {
		case "pages":
			var pages []struct{}
			if err := d.Decode(&pages); err != nil {
				return nil, notes, fmt.Errorf("its pages: %w", err)
			}
			notes.Pages = len(pages)
		case "entries":
			if t, err := d.Token(); err != nil || t != json.Delim('[') {
				return nil, notes, errors.New("not a HAR file: its entries are not an array")
			}
			for n := 1; d.More(); n++ {
				var e harEntry
				if err := d.Decode(&e); err != nil {
					var kind *json.UnmarshalTypeError
					if errors.As(err, &kind) {
						fault(n, err)
						continue
					}
					// Later entries cannot be located.
					fault(n, fmt.Errorf("the file is truncated or malformed here: %w", err))
					return sortByTime(records), notes, nil
				}
				if len(records) >= maxEntries {
					return nil, notes, fmt.Errorf("over %d entries", maxEntries)
				}
				rec, err := e.record(client, bodies, &notes)
				if err != nil {
					fault(n, err)
					continue
				}
				records = append(records, rec)
			}
			if _, err := d.Token(); err != nil {
				return sortByTime(records), notes, nil
			}
		default:
			var skip json.RawMessage
			if err := d.Decode(&skip); err != nil {
				return nil, notes, fmt.Errorf("not a HAR file: %w", err)
			}
		}
	}
	return sortByTime(records), notes, nil
}

func sortByTime(r []record) []record {
	sort.SliceStable(r, func(i, j int) bool { return r[i].timestamp.Before(r[j].timestamp) })
	return r
}

// enterObject positions d inside the object that is the value of key in the next object.
func enterObject(d *json.Decoder, key string) error {
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errors.New("it is not an object")
	}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		if t == key {
			if t, err := d.Token(); err != nil || t != json.Delim('{') {
				return fmt.Errorf("its %s is no object", key)
			}
			return nil
		}
		var skip json.RawMessage
		if err := d.Decode(&skip); err != nil {
			return err
		}
	}
	return fmt.Errorf("it has no %s", key)
}

// record returns the record of an entry.
func (e *harEntry) record(client string, bodies bool, notes *HARNotes) (record, error) {
	r := record{atStart: true, took: -1, size: -1, method: e.Request.Method, status: e.Response.Status, client: client}
	var err error
	if r.timestamp, err = time.Parse(time.RFC3339Nano, e.Started); err != nil {
		return r, fmt.Errorf("startedDateTime is %.40q", e.Started)
	}
	u, err := url.Parse(e.Request.URL)
	if err != nil || u.Host == "" || r.method == "" {
		return r, errors.New("its request is invalid")
	}
	r.host, r.target = u.Host, u.RequestURI()
	notes.Entries++
	switch {
	case r.status == 0:
		notes.Aborted++
	case r.status/100 == 3:
		notes.Redirects++
	}
	for _, h := range e.Request.Headers {
		if k, ok := headerFields[strings.ToLower(h.Name)]; ok && k != host {
			r.set(k, h.Value, time.UTC)
		}
	}
	if r.size < 0 && e.Request.BodySize > 0 {
		r.size = e.Request.BodySize
	}
	if p := e.Request.PostData; p != nil && p.Text != "" {
		text := []byte(p.Text)
		if p.Encoding == "base64" {
			if text, err = base64.StdEncoding.DecodeString(p.Text); err != nil {
				return r, errors.New("its body is not valid base64")
			}
		}
		notes.Bodies++
		if r.size < 0 {
			r.size = int64(len(text))
		}
		switch {
		case int64(len(text)) < r.size: // the browser recorded only a part
			notes.Truncated++
		case bodies:
			r.body = text
		}
	}
	return r, nil
}

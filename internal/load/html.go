package load

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"
)

// HTML writes a report as one file that needs nothing else: latency over time, the curve of percentiles, and outcomes.
func (r *Report) HTML(w io.Writer, title string) error {
	type row struct {
		Class                    string
		First, Tries, Answered   int
		P50, P90, P99, P999, Max string
		Outcomes                 string
	}
	var rows []row
	for _, name := range r.ClassNames() {
		t := r.Classes[name]
		var outcomes []string
		for _, o := range []Outcome{Served, Redirected, Rejected, Refused, Failed, ConnectFailed, Interrupted, TimedOut, Unsent} {
			if n := t.Outcomes[o]; n > 0 {
				outcomes = append(outcomes, fmt.Sprintf("%s %d", o, n))
			}
		}
		f := func(p float64) string { return fmt.Sprintf("%.2f", ms(t.Corrected.Percentile(p))) }
		rows = append(rows, row{name, t.FirstTries, t.Tries, t.Answered, f(50), f(90), f(99), f(99.9), f(100), strings.Join(outcomes, ", ")})
	}
	return page.Execute(w, map[string]any{
		"Title": title, "Report": r, "Rows": rows, "Latency": template.HTML(r.latencyChart()), "Percentiles": template.HTML(r.percentileChart()),
		"Outcomes": template.HTML(r.outcomeChart()),
	})
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; color: #1c2733 }
table { border-collapse: collapse } td, th { padding: .25rem .7rem; text-align: right; border-bottom: 1px solid #d5dce3 }
td:first-child, th:first-child, td:last-child, th:last-child { text-align: left }
.verdict { padding: .6rem .9rem; border-left: .35rem solid #2c7a4b; background: #eef7f1 } .bad { border-color: #b3261e; background: #fcefee }
svg { width: 100%; height: auto } text { font: 11px system-ui, sans-serif; fill: #51606f } figcaption { color: #51606f }
</style></head><body>
<h1>{{.Title}}</h1>
<p class="verdict{{if not .Report.Trusted}} bad{{end}}">{{.Report.Verdict}}</p>
<table><thead><tr><th>class</th><th>first tries</th><th>tries</th><th>answered</th><th>p50 ms</th><th>p90</th><th>p99</th><th>p99.9</th><th>max</th><th>tries ended</th></tr></thead>
<tbody>{{range .Rows}}<tr><td>{{.Class}}</td><td>{{.First}}</td><td>{{.Tries}}</td><td>{{.Answered}}</td><td>{{.P50}}</td><td>{{.P90}}</td><td>{{.P99}}</td><td>{{.P999}}</td><td>{{.Max}}</td><td>{{.Outcomes}}</td></tr>
{{end}}</tbody></table>
<p>Times count from when a client's first try was to be sent. Not sent: {{.Report.Late}} too late, {{.Report.OverLimit}} with too many open. This process stood still {{.Report.Pauses}} times.</p>
<figure>{{.Latency}}<figcaption>p50, p99 (from when it was to be sent) and p99 of the time on a connection, by window; grey windows are not to be trusted</figcaption></figure>
<figure>{{.Percentiles}}<figcaption>time by percentile, from when it was to be sent (solid) and on a connection (dashed)</figcaption></figure>
<figure>{{.Outcomes}}<figcaption>tries a window: served below, all others above</figcaption></figure>
</body></html>
`))

const (
	chartWidth, chartHeight = 900.0, 260.0
	chartLeft, chartBottom  = 60.0, 30.0
)

// chart draws lines of values over an axis; logarithmic where log is set.
type chart struct {
	b      strings.Builder
	most   float64
	least  float64
	log    bool
	xs     float64 // values of x
	xLabel func(float64) string
	yLabel func(float64) string
	shade  [][2]float64
}

func (c *chart) x(v float64) float64 {
	return chartLeft + v/math.Max(c.xs, 1e-9)*(chartWidth-chartLeft-10)
}

func (c *chart) y(v float64) float64 {
	h := chartHeight - chartBottom - 10
	if !c.log {
		return 10 + h*(1-v/math.Max(c.most, 1e-9))
	}
	v = math.Max(v, c.least)
	return 10 + h*(1-math.Log(v/c.least)/math.Max(math.Log(c.most/c.least), 1e-9))
}

func (c *chart) begin() {
	fmt.Fprintf(&c.b, `<svg viewBox="0 0 %g %g" role="img">`, chartWidth, chartHeight)
	for _, s := range c.shade {
		fmt.Fprintf(&c.b, `<rect x="%.1f" y="10" width="%.1f" height="%.1f" fill="#e3e6ea"/>`, c.x(s[0]), c.x(s[1])-c.x(s[0]), chartHeight-chartBottom-10)
	}
	for i := range 5 {
		v := c.most * float64(i) / 4
		if c.log {
			v = c.least * math.Pow(c.most/c.least, float64(i)/4)
		}
		fmt.Fprintf(&c.b, `<line x1="%g" x2="%g" y1="%.1f" y2="%.1f" stroke="#e3e6ea"/><text x="%g" y="%.1f" text-anchor="end">%s</text>`,
			chartLeft, chartWidth-10, c.y(v), c.y(v), chartLeft-6, c.y(v)+4, template.HTMLEscapeString(c.yLabel(v)))
		x, anchor := c.xs*float64(i)/4, "middle"
		if i == 4 {
			anchor = "end"
		}
		fmt.Fprintf(&c.b, `<text x="%.1f" y="%g" text-anchor="%s">%s</text>`, c.x(x), chartHeight-8, anchor, template.HTMLEscapeString(c.xLabel(x)))
	}
}

func (c *chart) line(xs, ys []float64, color, dash string) {
	c.b.WriteString(`<polyline fill="none" stroke-width="1.6" stroke="` + color + `" stroke-dasharray="` + dash + `" points="`)
	for i := range xs {
		fmt.Fprintf(&c.b, "%.1f,%.1f ", c.x(xs[i]), c.y(ys[i]))
	}
	c.b.WriteString(`"/>`)
}

func (c *chart) end() string { return c.b.String() + "</svg>" }

// total sums the classes of a window.
func (w *Window) total() *Stats {
	sum := newTally()
	for _, t := range w.Classes {
		sum.merge(t)
	}
	return sum
}

func seconds(v float64) string { return fmt.Sprintf("%.3g s", v) }

func millis(v float64) string {
	if v >= 1000 {
		return fmt.Sprintf("%.3g s", v/1000)
	}
	return fmt.Sprintf("%.3g ms", v)
}

func (r *Report) latencyChart() string {
	var xs, p50, p99, raw []float64
	c := chart{log: true, least: 0.1, most: 1, xs: r.DurationS, xLabel: seconds, yLabel: millis}
	for _, w := range r.Windows {
		t := w.total()
		xs = append(xs, w.StartS+r.WindowS/2)
		p50, p99, raw = append(p50, ms(t.Corrected.Percentile(50))), append(p99, ms(t.Corrected.Percentile(99))), append(raw, ms(t.Raw.Percentile(99)))
		c.most = max(c.most, ms(t.Corrected.Percentile(99)), ms(t.Raw.Percentile(99)))
		if !w.Trusted {
			c.shade = append(c.shade, [2]float64{w.StartS, w.StartS + r.WindowS})
		}
	}
	c.begin()
	c.line(xs, p50, "#2c7a4b", "")
	c.line(xs, p99, "#b3261e", "")
	c.line(xs, raw, "#b3261e", "4 4")
	return c.end()
}

func (r *Report) percentileChart() string {
	all := newTally()
	for _, t := range r.Classes {
		all.merge(t)
	}
	c := chart{log: true, least: 0.1, most: max(1, ms(all.Corrected.Percentile(100))), xs: 4, yLabel: millis, xLabel: func(v float64) string {
		return fmt.Sprintf("%.5g %%", 100*(1-math.Pow(10, -v)))
	}}
	c.begin()
	for i, h := range []*Histogram{all.Corrected, all.Raw} {
		var xs, ys []float64
		for x := 0.0; x <= 4; x += 0.05 {
			xs, ys = append(xs, x), append(ys, ms(h.Percentile(100*(1-math.Pow(10, -x)))))
		}
		c.line(xs, ys, "#1f5f99", []string{"", "4 4"}[i])
	}
	return c.end()
}

func (r *Report) outcomeChart() string {
	c := chart{most: 1, xs: r.DurationS, xLabel: seconds, yLabel: func(v float64) string { return fmt.Sprintf("%.0f", v) }}
	type bar struct{ from, served, other float64 }
	var bars []bar
	for _, w := range r.Windows {
		t := w.total()
		b := bar{from: w.StartS, served: float64(t.Outcomes[Served])}
		for o, n := range t.Outcomes {
			if o != Served {
				b.other += float64(n)
			}
		}
		bars = append(bars, b)
		c.most = max(c.most, b.served+b.other)
	}
	c.begin()
	width := max(0.5, c.x(r.WindowS)-c.x(0)-1)
	for _, b := range bars {
		fmt.Fprintf(&c.b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#2c7a4b"/>`, c.x(b.from), c.y(b.served), width, c.y(0)-c.y(b.served))
		fmt.Fprintf(&c.b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#b3261e"/>`, c.x(b.from), c.y(b.served+b.other), width, c.y(b.served)-c.y(b.served+b.other))
	}
	return c.end()
}

// Line is progress as one line.
func (p Progress) Line() string {
	return fmt.Sprintf("%6.1fs  %7.0f/s  served %7.0f/s  open %5d  p50 %8s  p99 %8s  errors %5d  lag p99 %8s  unsent %d  untrusted %d",
		p.At.Seconds(), p.Rate, p.ServedRate, p.Open, p.P50.Round(10*time.Microsecond), p.P99.Round(10*time.Microsecond), p.Errors, p.Lag.Round(time.Microsecond), p.Unsent, p.Untrusted)
}

package load

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"strings"
	"time"
)

// NewSource returns the Source of a plan, which has been checked. One seed gives the same requests at the same times. Stop ends it.
func (p *Plan) NewSource() (s Source, stop func()) {
	arrivals := rand.New(rand.NewPCG(p.Seed, 10))
	if p.EvenlySpaced {
		arrivals = nil
	}
	d := &drawn{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 11))}
	d.next, d.stop = iter.Pull(Arrivals(p.Stages, arrivals))
	for _, c := range p.Classes {
		d.sum += c.Share
		var z *rand.Zipf
		if c.Zipf > 1 {
			z = rand.NewZipf(d.rng, c.Zipf, 1, uint64(c.Keys-1))
		}
		d.zipf = append(d.zipf, z)
		d.fill = append(d.fill, strings.Repeat("x", c.BodySize))
	}
	return d, d.stop
}

// Length is a method of Source.
func (d *drawn) Length() time.Duration { return d.plan.Stages.Length() }

// Next is a method of Source.
func (d *drawn) Next() (Request, bool) {
	at, ok := d.next()
	if !ok {
		return Request{}, false
	}
	i, left := 0, d.rng.Float64()*d.sum
	for ; i < len(d.plan.Classes)-1 && left >= d.plan.Classes[i].Share; i++ {
		left -= d.plan.Classes[i].Share
	}
	c := &d.plan.Classes[i]
	d.count++
	var key string
	switch {
	case d.zipf[i] != nil:
		key = fmt.Sprint("k", d.zipf[i].Uint64())
	case c.Keys > 0:
		key = fmt.Sprint("k", d.rng.IntN(c.Keys))
	default:
		key = fmt.Sprintf("n%d-%d", d.plan.Seed, d.count)
	}
	r := Request{At: at, Class: i, Path: c.path(key), Body: c.Body + d.fill[i], Cost: c.Cost}
	if c.IdempotencyKey {
		r.Key = fmt.Sprintf("q%d-%d", d.plan.Seed, d.count)
	}
	if len(c.Tenants) > 0 {
		r.Tenant = c.Tenants[d.rng.IntN(len(c.Tenants))]
	}
	return r, true
}

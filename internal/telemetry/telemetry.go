// Package telemetry tells what a sidecar does as metrics in the Prometheus text format. It keeps no figures of its own: each
// scrape reads those that their owners keep, so that a request costs nothing more.
package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"quillfront/internal/connlimit"
	"quillfront/internal/engine"
	"quillfront/internal/orders"
	"quillfront/internal/peering"
	"quillfront/internal/services"
	"quillfront/policy"
)

// Source is whose figures are told.
type Source interface {
	Counts() map[string]engine.Counts
	State() State
}

// State is what a sidecar holds at one moment.
type State struct {
	Engine                          engine.Snapshot
	Excluded                        int // servers that operators have out
	Evacuated                       bool
	ConfigsApplied, ConfigsRejected int // configurations
	Descriptors                     [2]int
	DescriptorLimits                [2]int        // descriptors that may be taken, in all and by clients
	Orders                          *orders.Stats // nil: nothing is noted of orders
	Services                        []services.Stats
	Peers                           *peering.Metrics // nil: there are no other processes
}

const prefix = "svc_"

// mostServers bounds the servers whose figures are told apart: the first by their ids.
const mostServers = 200

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prefix+name, help, labels, nil)
}

var (
	okTotal       = desc("ok_total", "Requests that a server answered.", "kind")
	shedTotal     = desc("shed_total", "Requests refused: a retry is harmless.", "kind")
	errorsTotal   = desc("errors_total", "Requests that failed: nothing is promised.", "kind")
	leftTotal     = desc("withdrawn_total", "Requests whose clients left.", "kind")
	triesTotal    = desc("tries_total", "Attempts that have ended.", "kind", "result")
	active        = desc("active", "Requests without an answer.")
	held          = desc("held", "Requests that wait for a report.")
	poolSize      = desc("pool_size", "Servers that are listed.")
	poolEjected   = desc("pool_ejected", "Servers left out for what they failed at.")
	poolOut       = desc("pool_out", "Servers that operators have out.")
	poolDraining  = desc("pool_draining", "Servers that count as draining.")
	readySet      = desc("ready_set", "Servers that requests usually go to.")
	threshold     = desc("threshold", "Shortest queue of the last probe round.")
	evacuated     = desc("evacuated", "1 while operators have this sidecar drained.")
	applied       = desc("config_applied_total", "Configurations taken over.")
	rejected      = desc("config_rejected_total", "Configurations that could not be used.")
	descriptors   = desc("descriptors", "Descriptors in use.", "of")
	places        = desc("descriptors_most", "Descriptors that may be in use.", "of")
	ordersTotal   = desc("orders_total", "Requests that named an order, by what followed from what was known of it.", "result")
	serverOut     = desc("server_out", "Attempts of this sidecar at a server.", "server")
	serverQueue   = desc("server_queue", "Latest queue that a server reported.", "server")
	serverDelay   = desc("server_expected_seconds", "Delay to expect of an answer of a server.", "server")
	serverWarmth  = desc("server_warmth", "Least share of its capacity that a server has.", "server")
	serverLeft    = desc("server_ejected_seconds", "How much longer a server is left out for what it failed at.", "server")
	serverFails   = desc("server_failures", "Failures of a server in a row.", "server")
	siteShare     = desc("site_share", "Part of its traffic that a site takes.", "site")
	siteState     = desc("site_state", "0 healthy, 1 doubtful, 2 dark, 3 returning.", "site")
	siteBad       = desc("site_bad", "Part of a site's servers that fails, of those that are known.", "site")
	siteSpilled   = desc("site_spilled_total", "Requests that a site was sent for others.", "site")
	siteAway      = desc("site_turned_away_total", "Requests meant for a site that no other had room for.", "site")
	serviceGuests = desc("service_guests", "Connections of clients.", "service")
	serviceAway   = desc("service_turned_away_total", "Connections that were turned away.", "service", "why")
	serviceEnded  = desc("service_requests_total", "Statements, and streams that were to be opened, by how they ended.", "service", "class", "kind")
	serviceServer = desc("service_server_out", "What a server has of a service at present.", "service", "server")
	streamsOpen   = desc("streams_open", "Streams that are open.", "service")
	streamsEnded  = desc("streams_ended_total", "Streams that have ended.", "service", "why")
	streamBytes   = desc("stream_bytes_total", "Bytes that were passed on.", "service", "to")
	mysqlBound    = desc("mysql_sessions_bound", "Sessions in a transaction, or otherwise bound to their server.", "service")
	mysqlAnswers  = desc("mysql_statements_total", "Statements, by answer.", "service", "answer")
	mysqlMoves    = desc("mysql_sessions_moved_total", "Sessions that left a server which takes nothing new: free ones, and ones whose time was up.", "service", "how")
	mysqlServers  = desc("mysql_server_connections_total", "Connections to servers that were opened, used again, reset, and orders to end a statement.", "service", "what")
	mysqlIdle     = desc("mysql_server_connections_idle", "Idle connections to servers.", "service")
	routeRequests = desc("route_requests_total", "Requests that took a route.", "service", "route")
	routeKeys     = desc("route_keys_held", "Keys that stay with their pool.", "service", "route")
	routeEarly    = desc("route_keys_early_total", "Keys that were let go before their window had passed, for want of room.", "service", "route")
	poolPlaces    = desc("service_descriptors", "Connections to servers.", "service")
	poolBodies    = desc("service_bodies_bytes", "Bodies of requests that are held.", "service")
	poolWaits     = desc("service_descriptor_waits_total", "Connections to servers for which no descriptor was free, by whether they got one in time.", "service", "result")
	poolsEnded    = desc("pools_ended_total", "Pools that a reload took out and that have ended.", "service")
	poolsCut      = desc("pools_ended_requests_total", "Requests that got no server's answer as their pool was over.", "service")
	membersKnown  = desc("members", "Processes that are known, this one included, by state.", "state")
	membersLiving = desc("members_living", "Processes that count as there.")
	membersGroup  = desc("members_group", "By how many processes that is divided which all may do together; 0: by those of the settings.")
	membersHealth = desc("members_health", "Part of the pings to members that are answered.")
	membersApart  = desc("members_apart", "1 while no other process answers, or a later one has this one's name.")
	membersEvents = desc("members_events_total", "Members held for gone, returns of this process after it was, times it stood still.", "what")
	membersBytes  = desc("members_bytes_total", "Bytes of datagrams.", "direction")
	membersLost   = desc("members_datagrams_dropped_total", "Datagrams that were not taken or not sent, by why.", "why")
	ordersFailing = desc("orders_failing", "1 while nothing can be noted of orders.")
)

var all = []*prometheus.Desc{
	okTotal, shedTotal, errorsTotal, leftTotal, triesTotal, active, held, poolSize, poolEjected, poolOut, poolDraining, readySet,
	threshold, serverOut, serverQueue, serverDelay, serverWarmth, serverLeft, serverFails, siteShare, siteState, siteBad, siteSpilled, siteAway, evacuated, applied, rejected, descriptors, places, ordersTotal, ordersFailing,
	serviceGuests, serviceAway, serviceEnded, serviceServer, streamsOpen, streamsEnded, streamBytes, mysqlBound, mysqlAnswers, mysqlMoves, mysqlServers,
	mysqlIdle, routeRequests, routeKeys, routeEarly, poolPlaces, poolBodies, poolWaits, poolsEnded, poolsCut,
	membersKnown, membersLiving, membersGroup, membersHealth, membersApart, membersEvents, membersBytes, membersLost,
}

// statuses names how attempts end.
var statuses = [...]string{
	policy.OK: "ok", policy.AppError: "error", policy.Overloaded: "turned_away", policy.Timeout: "timeout", policy.ConnectFailed: "connect",
	policy.Reset: "reset", policy.Canceled: "canceled", policy.NotSent: "unsent", policy.Rejected: "rejected",
}

// collector implements prometheus.Collector.
type collector struct{ Source }

// Describe is a method of prometheus.Collector.
func (c collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range all {
		to <- d
	}
}

// Collect is a method of prometheus.Collector.
func (c collector) Collect(to chan<- prometheus.Metric) {
	tell := func(kind prometheus.ValueType, d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	total := func(d *prometheus.Desc, v uint64, labels ...string) {
		tell(prometheus.CounterValue, d, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) { tell(prometheus.GaugeValue, d, v, labels...) }
	for class, n := range c.Counts() {
		total(okTotal, n.Results[engine.Served], class)
		total(shedTotal, n.Results[engine.Refused], class)
		total(errorsTotal, n.Results[engine.Failed]+n.Results[engine.Dropped], class)
		total(leftTotal, n.Withdrawn, class)
		for status, v := range n.Attempts {
			total(triesTotal, v, class, statuses[status])
		}
	}
	s := c.State()
	ejected, draining := 0, 0
	for _, t := range s.Engine.Servers {
		if t.EjectedFor > 0 {
			ejected++
		}
		if t.ServerSnapshot.State == policy.Draining {
			draining++
		}
	}
	for _, t := range s.Engine.Servers[:min(len(s.Engine.Servers), mostServers)] {
		id := string(t.ID)
		gauge(serverOut, float64(t.Outstanding), id)
		if t.Reported {
			gauge(serverQueue, t.Queue, id)
		}
		gauge(serverDelay, t.ExpectedDelay.Seconds(), id)
		gauge(serverWarmth, t.Warmth, id)
		gauge(serverLeft, t.EjectedFor.Seconds(), id)
		gauge(serverFails, float64(t.ConsecutiveFailures), id)
	}
	for _, v := range s.Engine.Sites {
		gauge(siteShare, v.Share, v.Site)
		gauge(siteState, float64(v.State), v.Site)
		gauge(siteBad, v.FailureRatio, v.Site)
		total(siteSpilled, v.Spilled, v.Site)
		total(siteAway, v.TurnedAway, v.Site)
	}
	gauge(active, float64(s.Engine.Open))
	gauge(held, float64(s.Engine.Module.Held))
	gauge(poolSize, float64(len(s.Engine.Servers)))
	gauge(poolEjected, float64(ejected))
	gauge(poolOut, float64(s.Excluded))
	gauge(poolDraining, float64(draining))
	gauge(readySet, float64(s.Engine.Module.ReadySet))
	gauge(threshold, s.Engine.Module.Threshold)
	gauge(evacuated, truth(s.Evacuated))
	total(applied, uint64(s.ConfigsApplied))
	total(rejected, uint64(s.ConfigsRejected))
	for i, of := range []string{"all", "clients"} {
		gauge(descriptors, float64(s.Descriptors[i]), of)
		gauge(places, float64(s.DescriptorLimits[i]), of)
	}
	if o := s.Orders; o != nil {
		for _, r := range []struct {
			result string
			n      int64
		}{
			{"replayed", o.Replayed}, {"joined", o.Joined}, {"again", o.Resent}, {"mismatched", o.Mismatched}, {"unknown", o.Unknown},
			{"unwritable", o.Unwritable},
		} {
			total(ordersTotal, uint64(r.n), r.result)
		}
		gauge(ordersFailing, truth(o.StoreError != nil))
	}
	for _, f := range s.Services {
		tellService(f, total, gauge)
	}
	if f := s.Peers; f != nil {
		for state, n := range f.States {
			gauge(membersKnown, float64(n), state)
		}
		gauge(membersLiving, float64(f.Live))
		gauge(membersGroup, float64(f.Group))
		gauge(membersHealth, f.Stats.Health)
		gauge(membersApart, truth(f.Isolated || f.Displaced))
		total(membersEvents, f.Stats.Verdicts, "condemned")
		total(membersEvents, f.Stats.Refutations, "returned")
		total(membersEvents, f.Stats.Stalls, "stalled")
		total(membersBytes, f.SentBytes, "sent")
		total(membersBytes, f.ReceivedBytes, "received")
		total(membersLost, f.SendLimited, "over_bound")
		total(membersLost, f.ReceiveLimited, "crowded")
		for why, n := range f.Stats.Dropped {
			total(membersLost, n, why)
		}
	}
}

// tellService tells the figures of one service.
func tellService(f services.Stats, total func(*prometheus.Desc, uint64, ...string), gauge func(*prometheus.Desc, float64, ...string)) {
	for class, n := range f.Counts {
		for kind, name := range []string{"served", "refused", "failed", "dropped"} {
			total(serviceEnded, n.Results[kind], f.Name, class, name)
		}
		total(serviceEnded, n.Withdrawn, f.Name, class, "withdrawn")
	}
	for _, v := range f.Pool.Servers[:min(len(f.Pool.Servers), mostServers)] {
		gauge(serviceServer, float64(v.Outstanding), f.Name, string(v.ID))
	}
	var g connlimit.Stats
	if st := f.Stream; st != nil {
		g = st.Connections
		gauge(streamsOpen, float64(st.Open), f.Name)
		for why, n := range st.Ended {
			total(streamsEnded, n, f.Name, why)
		}
		total(streamBytes, st.Bytes[0], f.Name, "servers")
		total(streamBytes, st.Bytes[1], f.Name, "clients")
	}
	if st := f.MySQL; st != nil {
		g = st.Guests
		gauge(mysqlBound, float64(st.Bound), f.Name)
		for answer, n := range st.Statements {
			total(mysqlAnswers, n, f.Name, answer)
		}
		total(mysqlMoves, st.Moved, f.Name, "free")
		total(mysqlMoves, st.Drained, f.Name, "ended")
		c := st.Servers
		for what, n := range map[string]uint64{"opened": c.Dials, "reused": c.Reuses, "reset": c.Resets, "killed": c.Kills} {
			total(mysqlServers, n, f.Name, what)
		}
		gauge(mysqlIdle, float64(c.Idle), f.Name)
	}
	if st := f.HTTP; st != nil {
		if f.Kind == "pool" {
			gauge(poolPlaces, float64(st.Descriptors), f.Name)
			gauge(poolBodies, float64(st.BodyBytes), f.Name)
			total(poolWaits, st.DescriptorWaits.Acquired, f.Name, "got")
			total(poolWaits, st.DescriptorWaits.TimedOut, f.Name, "none")
			return
		}
		g.Current = st.Clients.Open
		total(poolsEnded, st.Retired.Pools, f.Name)
		total(poolsCut, st.Retired.Cut, f.Name)
		for route, n := range st.Routes {
			total(routeRequests, n.Requests, f.Name, route)
			gauge(routeKeys, float64(n.PinnedKeys), f.Name, route)
			total(routeEarly, uint64(n.EarlyEvictions), f.Name, route)
		}
	}
	gauge(serviceGuests, float64(g.Current), f.Name)
	for why, n := range g.Rejected {
		total(serviceAway, n, f.Name, why)
	}
}

func truth(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Handler returns what answers scrapes of s, its process included.
func Handler(s Source) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{s}, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 2, DisableCompression: true})
}

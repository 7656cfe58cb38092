// Package telemetry exports the metrics of a sidecar in the Prometheus text format. It keeps no
// counters of its own: each scrape reads those of the other packages, so that metrics add no cost
// to a request.
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

// Source provides the values that a scrape exports. Counts is by request class.
type Source interface {
	Counts() map[string]engine.Counts
	State() State
}

// State is a snapshot of a sidecar's state.
type State struct {
	Engine                          engine.Snapshot
	Excluded                        int // servers that operators have excluded
	Evacuated                       bool
	ConfigsApplied, ConfigsRejected int
	Descriptors                     [2]int        // in use, in total and by clients
	DescriptorLimits                [2]int        // the limits of Descriptors
	Orders                          *orders.Stats // nil if there is no store of orders
	Services                        []services.Stats
	Peers                           *peering.Metrics // nil without membership of a cluster
}

const prefix = "svc_"

// maxServers limits the servers that have time series of their own: the first by their ids.
const maxServers = 200

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prefix+name, help, labels, nil)
}

var (
	okTotal             = desc("ok_total", "Requests that a server answered.", "kind")
	shedTotal           = desc("shed_total", "Requests refused: a retry is harmless.", "kind")
	errorsTotal         = desc("errors_total", "Requests that failed: nothing is promised.", "kind")
	withdrawnTotal      = desc("withdrawn_total", "Requests whose clients left.", "kind")
	triesTotal          = desc("tries_total", "Attempts that have ended.", "kind", "result")
	attemptReasons      = desc("attempts_without_answer_total", "Attempts that brought no whole answer, by reason.", "kind", "reason")
	activeRequests      = desc("active", "Requests without an answer.")
	heldRequests        = desc("held", "Requests that wait for a report.")
	poolSize            = desc("pool_size", "Servers that are listed.")
	poolEjected         = desc("pool_ejected", "Servers left out for what they failed at.")
	poolExcluded        = desc("pool_out", "Servers that operators have out.")
	poolDraining        = desc("pool_draining", "Servers that count as draining.")
	readySet            = desc("ready_set", "Servers that requests usually go to.")
	threshold           = desc("threshold", "Shortest queue of the last probe round.")
	evacuated           = desc("evacuated", "1 while operators have this sidecar drained.")
	configsApplied      = desc("config_applied_total", "Configurations taken over.")
	configsRejected     = desc("config_rejected_total", "Configurations that could not be used.")
	descriptors         = desc("descriptors", "Descriptors in use.", "of")
	descriptorLimits    = desc("descriptors_most", "Descriptors that may be in use.", "of")
	ordersTotal         = desc("orders_total", "Requests that named an order, by what followed from what was known of it.", "result")
	serverOutstanding   = desc("server_out", "Attempts of this sidecar at a server.", "server")
	serverQueue         = desc("server_queue", "Latest queue that a server reported.", "server")
	serverDelay         = desc("server_expected_seconds", "Delay to expect of an answer of a server.", "server")
	serverWarmth        = desc("server_warmth", "Least share of its capacity that a server has.", "server")
	serverEjectedFor    = desc("server_ejected_seconds", "How much longer a server is left out for what it failed at.", "server")
	serverFailures      = desc("server_failures", "Failures of a server in a row.", "server")
	siteShare           = desc("site_share", "Part of its traffic that a site takes.", "site")
	siteState           = desc("site_state", "0 healthy, 1 doubtful, 2 dark, 3 returning.", "site")
	siteFailureRatio    = desc("site_bad", "Part of a site's servers that fails, of those that are known.", "site")
	siteSpilled         = desc("site_spilled_total", "Requests that a site was sent for others.", "site")
	siteTurnedAway      = desc("site_turned_away_total", "Requests meant for a site that no other had room for.", "site")
	serviceConnections  = desc("service_guests", "Connections of clients.", "service")
	serviceRejected     = desc("service_turned_away_total", "Connections that were turned away.", "service", "why")
	serviceRequests     = desc("service_requests_total", "Statements, and streams that were to be opened, by how they ended.", "service", "class", "kind")
	serviceOutstanding  = desc("service_server_out", "What a server has of a service at present.", "service", "server")
	streamsOpen         = desc("streams_open", "Streams that are open.", "service")
	streamsEnded        = desc("streams_ended_total", "Streams that have ended.", "service", "why")
	streamBytes         = desc("stream_bytes_total", "Bytes that were passed on.", "service", "to")
	mysqlBound          = desc("mysql_sessions_bound", "Sessions in a transaction, or otherwise bound to their server.", "service")
	mysqlStatements     = desc("mysql_statements_total", "Statements, by answer.", "service", "answer")
	mysqlSessionsMoved  = desc("mysql_sessions_moved_total", "Sessions that left a server which takes nothing new: free ones, and ones whose time was up.", "service", "how")
	mysqlServerConns    = desc("mysql_server_connections_total", "Connections to servers that were opened, used again, reset, and orders to end a statement.", "service", "what")
	mysqlIdleConns      = desc("mysql_server_connections_idle", "Idle connections to servers.", "service")
	routeRequests       = desc("route_requests_total", "Requests that took a route.", "service", "route")
	routePinnedKeys     = desc("route_keys_held", "Keys that stay with their pool.", "service", "route")
	routeEarlyEvictions = desc("route_keys_early_total", "Keys that were let go before their window had passed, for want of room.", "service", "route")
	poolDescriptors     = desc("service_descriptors", "Connections to servers.", "service")
	poolBodyBytes       = desc("service_bodies_bytes", "Bodies of requests that are held.", "service")
	poolDescriptorWaits = desc("service_descriptor_waits_total", "Connections to servers for which no descriptor was free, by whether they got one in time.", "service", "result")
	poolsEnded          = desc("pools_ended_total", "Pools that a reload took out and that have ended.", "service")
	poolsEndedRequests  = desc("pools_ended_requests_total", "Requests that got no server's answer as their pool was over.", "service")
	membersKnown        = desc("members", "Processes that are known, this one included, by state.", "state")
	membersLiving       = desc("members_living", "Processes that count as there.")
	membersGroup        = desc("members_group", "By how many processes that is divided which all may do together; 0: by those of the settings.")
	membersHealth       = desc("members_health", "Part of the pings to members that are answered.")
	membersIsolated     = desc("members_apart", "1 while no other process answers, or a later one has this one's name.")
	membersEvents       = desc("members_events_total", "Members held for gone, returns of this process after it was, times it stood still.", "what")
	membersBytes        = desc("members_bytes_total", "Bytes of datagrams.", "direction")
	membersDropped      = desc("members_datagrams_dropped_total", "Datagrams that were not taken or not sent, by why.", "why")
	ordersFailing       = desc("orders_failing", "1 while nothing can be noted of orders.")
)

var allDescs = []*prometheus.Desc{
	okTotal, shedTotal, errorsTotal, withdrawnTotal, triesTotal, attemptReasons, activeRequests, heldRequests, poolSize, poolEjected, poolExcluded, poolDraining, readySet,
	threshold, serverOutstanding, serverQueue, serverDelay, serverWarmth, serverEjectedFor, serverFailures, siteShare, siteState, siteFailureRatio, siteSpilled, siteTurnedAway, evacuated, configsApplied, configsRejected, descriptors, descriptorLimits, ordersTotal, ordersFailing,
	serviceConnections, serviceRejected, serviceRequests, serviceOutstanding, streamsOpen, streamsEnded, streamBytes, mysqlBound, mysqlStatements, mysqlSessionsMoved, mysqlServerConns,
	mysqlIdleConns, routeRequests, routePinnedKeys, routeEarlyEvictions, poolDescriptors, poolBodyBytes, poolDescriptorWaits, poolsEnded, poolsEndedRequests,
	membersKnown, membersLiving, membersGroup, membersHealth, membersIsolated, membersEvents, membersBytes, membersDropped,
}

// collector is a prometheus.Collector that reads a Source.
type collector struct{ Source }

// Describe implements prometheus.Collector.
func (c collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range allDescs {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(to chan<- prometheus.Metric) {
	emit := func(kind prometheus.ValueType, d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, kind, v, labels...)
	}
	total := func(d *prometheus.Desc, v uint64, labels ...string) {
		emit(prometheus.CounterValue, d, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) { emit(prometheus.GaugeValue, d, v, labels...) }
	for class, n := range c.Counts() {
		total(okTotal, n.Results[engine.Served], class)
		total(shedTotal, n.Results[engine.Refused], class)
		total(errorsTotal, n.Results[engine.Failed]+n.Results[engine.Dropped], class)
		total(withdrawnTotal, n.Withdrawn, class)
		for status, v := range n.Attempts {
			total(triesTotal, v, class, engine.StatusName(policy.Status(status)))
		}
		for reason, v := range n.Reasons {
			if reason != int(policy.ReasonNone) {
				total(attemptReasons, v, class, policy.Reason(reason).String())
			}
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
	for _, t := range s.Engine.Servers[:min(len(s.Engine.Servers), maxServers)] {
		id := string(t.ID)
		gauge(serverOutstanding, float64(t.Outstanding), id)
		if t.Reported {
			gauge(serverQueue, t.Queue, id)
		}
		gauge(serverDelay, t.ExpectedDelay.Seconds(), id)
		gauge(serverWarmth, t.Warmth, id)
		gauge(serverEjectedFor, t.EjectedFor.Seconds(), id)
		gauge(serverFailures, float64(t.ConsecutiveFailures), id)
	}
	for _, v := range s.Engine.Sites {
		gauge(siteShare, v.Share, v.Site)
		gauge(siteState, float64(v.State), v.Site)
		gauge(siteFailureRatio, v.FailureRatio, v.Site)
		total(siteSpilled, v.Spilled, v.Site)
		total(siteTurnedAway, v.TurnedAway, v.Site)
	}
	gauge(activeRequests, float64(s.Engine.Open))
	gauge(heldRequests, float64(s.Engine.Module.Held))
	gauge(poolSize, float64(len(s.Engine.Servers)))
	gauge(poolEjected, float64(ejected))
	gauge(poolExcluded, float64(s.Excluded))
	gauge(poolDraining, float64(draining))
	gauge(readySet, float64(s.Engine.Module.ReadySet))
	gauge(threshold, s.Engine.Module.Threshold)
	gauge(evacuated, boolValue(s.Evacuated))
	total(configsApplied, uint64(s.ConfigsApplied))
	total(configsRejected, uint64(s.ConfigsRejected))
	for i, of := range []string{"all", "clients"} {
		gauge(descriptors, float64(s.Descriptors[i]), of)
		gauge(descriptorLimits, float64(s.DescriptorLimits[i]), of)
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
		gauge(ordersFailing, boolValue(o.StoreError != nil))
	}
	for _, f := range s.Services {
		collectService(f, total, gauge)
	}
	if f := s.Peers; f != nil {
		for state, n := range f.States {
			gauge(membersKnown, float64(n), state)
		}
		gauge(membersLiving, float64(f.Live))
		gauge(membersGroup, float64(f.Group))
		gauge(membersHealth, f.Stats.Health)
		gauge(membersIsolated, boolValue(f.Isolated || f.Displaced))
		total(membersEvents, f.Stats.Verdicts, "condemned")
		total(membersEvents, f.Stats.Refutations, "returned")
		total(membersEvents, f.Stats.Stalls, "stalled")
		total(membersBytes, f.SentBytes, "sent")
		total(membersBytes, f.ReceivedBytes, "received")
		total(membersDropped, f.SendLimited, "over_bound")
		total(membersDropped, f.ReceiveLimited, "crowded")
		for why, n := range f.Stats.Dropped {
			total(membersDropped, n, why)
		}
	}
}

// collectService emits the metrics of one service.
func collectService(f services.Stats, total func(*prometheus.Desc, uint64, ...string), gauge func(*prometheus.Desc, float64, ...string)) {
	for class, n := range f.Counts {
		for kind, name := range []string{"served", "refused", "failed", "dropped"} {
			total(serviceRequests, n.Results[kind], f.Name, class, name)
		}
		total(serviceRequests, n.Withdrawn, f.Name, class, "withdrawn")
	}
	for _, v := range f.Pool.Servers[:min(len(f.Pool.Servers), maxServers)] {
		gauge(serviceOutstanding, float64(v.Outstanding), f.Name, string(v.ID))
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
		g = st.Connections
		gauge(mysqlBound, float64(st.Bound), f.Name)
		for answer, n := range st.Statements {
			total(mysqlStatements, n, f.Name, answer)
		}
		total(mysqlSessionsMoved, st.Migrated, f.Name, "free")
		total(mysqlSessionsMoved, st.DrainExpired, f.Name, "ended")
		c := st.ServerConns
		for what, n := range map[string]uint64{"opened": c.Dials, "reused": c.Reuses, "reset": c.Resets, "killed": c.Kills} {
			total(mysqlServerConns, n, f.Name, what)
		}
		gauge(mysqlIdleConns, float64(c.Idle), f.Name)
	}
	if st := f.HTTP; st != nil {
		if f.Kind == "pool" {
			gauge(poolDescriptors, float64(st.Descriptors), f.Name)
			gauge(poolBodyBytes, float64(st.BodyBytes), f.Name)
			total(poolDescriptorWaits, st.DescriptorWaits.Acquired, f.Name, "got")
			total(poolDescriptorWaits, st.DescriptorWaits.TimedOut, f.Name, "none")
			return
		}
		g.Current = st.Clients.Open
		total(poolsEnded, st.Retired.Pools, f.Name)
		total(poolsEndedRequests, st.Retired.Cut, f.Name)
		for route, n := range st.Routes {
			total(routeRequests, n.Requests, f.Name, route)
			gauge(routePinnedKeys, float64(n.PinnedKeys), f.Name, route)
			total(routeEarlyEvictions, uint64(n.EarlyEvictions), f.Name, route)
		}
	}
	gauge(serviceConnections, float64(g.Current), f.Name)
	for why, n := range g.Rejected {
		total(serviceRejected, n, f.Name, why)
	}
}

func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Handler returns a handler of scrapes of s, which include the metrics of the process.
func Handler(s Source) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{s}, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: 2, DisableCompression: true})
}

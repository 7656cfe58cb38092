package trial

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestEvaluate checks that justified verdicts are told from false ones, and that a killed process
// that no process declares gone, a failed recovery and a crash are reported as failures.
func TestEvaluate(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(1_000_000+int64(s), 0) }
	index := map[string]int{"p0": 0, "p1": 1, "p2": 2, "p3": 3}
	truth := &groundTruth{silence: 2 * time.Second, dead: map[string][]span{"p1": {{from: at(0)}}}, stopped: map[string][]span{"p2": {{at(100), at(101)}, {at(200), at(205)}}}, faults: []faultSpan{
		{&Fault{Kind: KindPartition, Partitions: 2}, span{at(300), at(310)}}, {&Fault{Kind: KindCut, Targets: []int{3}}, span{at(400), at(410)}}, {&Fault{Kind: KindCut, Targets: []int{3}, To: []int{1}}, span{at(500), at(510)}},
		{&Fault{Kind: KindNameConflict, Targets: []int{2}}, span{at(600), at(610)}},
	}}
	condemned := func(by, of string, s int) event {
		return event{At: at(s), Observer: by, Subject: of, Kind: "condemned"}
	}
	for _, tt := range []struct {
		event     event
		justified bool
	}{
		{condemned("p0", "p1", 3), true}, {condemned("p0", "p2", 102), false}, {condemned("p0", "p2", 204), true}, {condemned("p0", "p2", 240), false},
		{condemned("p0", "p3", 305), true}, {condemned("p1", "p3", 305), false}, {condemned("p0", "p3", 405), true}, {condemned("p0", "p3", 505), false}, {condemned("p0", "p2", 605), true}, {condemned("p0", "p3", 605), false},
	} {
		var r Report
		r.evaluate(truth, []event{tt.event}, index, nil, nil)
		if (len(r.FalseVerdicts) == 0) != tt.justified || (len(r.Failures) == 0) != tt.justified || r.Verdicts != 1 {
			t.Errorf("%v: %v", tt.event, r.Failures)
		}
	}
	r := Report{Recoveries: []Recovery{{"split", -1}}, Crashed: []string{"p0"}}
	r.evaluate(truth, []event{condemned("p0", "p1", 3), condemned("p2", "p1", 5), condemned("p0", "p1", 7)}, index, map[string]time.Time{"p1": at(0), "p3": at(0)}, []string{"p0"})
	if len(r.Failures) != 3 || r.MaxFlaps != 2 || r.Detections[1] != (Detection{"p1", 3000, 7000}) {
		t.Errorf("%+v", r)
	}
}

// TestPlans checks that each invalid plan is rejected with an error that names the faulty setting.
func TestPlans(t *testing.T) {
	for text, want := range map[string]string{
		"processes = 1":                "processes",
		"":                             "for: not set",
		"faults = [{kind = \"x\"}]":    "kind",
		"faults = [{kind = \"kill\"}]": "who",
		"faults = [{kind = \"kill\", who = [5]}]":                 "no process 5",
		"faults = [{kind = \"split\", parts = 1}]":                "parts",
		"faults = [{kind = \"slow\", who = [1]}]":                 "every",
		"faults = [{kind = \"link\", loss = 2.0}]":                "loss",
		"for = \"1s\"\nfaults = [{kind = \"link\", at = \"2s\"}]": "later than the trial",
		"fro = \"1s\"": "unknown key fro",
		"for = \"1\"":  "not a duration",
	} {
		if _, err := ParsePlan(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestRelay checks that each direction of a link has its own impairments, for datagrams and for a
// relayed TCP connection.
func TestRelay(t *testing.T) {
	listenLoopback := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var listen, advertise, outbound []netip.AddrPort
	var socks []*net.UDPConn
	// The relay tells processes apart by their IP addresses.
	for i := range 2 {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 77, byte(1+i))})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		socks = append(socks, c)
		listen = append(listen, c.LocalAddr().(*net.UDPAddr).AddrPort())
		for _, to := range []*[]netip.AddrPort{&advertise, &outbound} {
			f := listenLoopback()
			*to = append(*to, f.LocalAddr().(*net.UDPAddr).AddrPort())
			f.Close()
		}
	}
	n, err := newNetwork(listen, advertise, outbound, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	send := func(from, to, sent int) (received int, intact int) {
		for i := range sent {
			socks[from].WriteToUDPAddrPort(fmt.Appendf(nil, "datagram %04d", i), advertise[to])
			time.Sleep(50 * time.Microsecond)
		}
		buf := make([]byte, 100)
		for {
			socks[to].SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			k, at, err := socks[to].ReadFromUDPAddrPort(buf)
			if err != nil {
				return received, intact
			}
			if at != outbound[from] {
				t.Errorf("from %v, want %v", at, outbound[from])
			}
			received++
			var i int
			if c, _ := fmt.Sscanf(string(buf[:k]), "datagram %04d", &i); c == 1 && i < sent && len(buf[:k]) == 13 {
				intact++
			}
		}
	}
	if received, intact := send(0, 1, 100); received != 100 || intact != 100 {
		t.Errorf("received %d of 100, %d of them intact", received, intact)
	}
	n.setLinks(map[[2]int]Link{{0, 1}: {Cut: true}, {1, 0}: {Loss: 0.5, Duplicate: 0.5, Corrupt: 0.5, Jitter: 20 * time.Millisecond}})
	if received, _ := send(0, 1, 50); received != 0 {
		t.Errorf("received %d datagrams through a cut link", received)
	}
	if received, intact := send(1, 0, 400); received < 220 || received > 380 || intact < received/4 || intact > received*3/4 {
		t.Errorf("received %d of 400, %d of them intact", received, intact)
	}
	n.setLinks(map[[2]int]Link{{0, 1}: {Rate: 1300}})
	// The link carries one second of traffic. What would wait for longer is dropped.
	if received, _ := send(0, 1, 200); received < 100 || received > 160 {
		t.Errorf("received %d datagrams through a slow link", received)
	}

	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := echo.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		lines := bufio.NewScanner(c)
		for lines.Scan() {
			fmt.Fprintln(c, lines.Text())
		}
	}()
	w, err := n.newTCPRelay(0, 1, echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", w.Addr())
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	roundTrip := func(d time.Duration) error {
		fmt.Fprintln(c, "word")
		c.SetReadDeadline(time.Now().Add(d))
		_, err := r.ReadString('\n')
		return err
	}
	n.setLinks(nil)
	if err := roundTrip(10 * time.Second); err != nil {
		t.Error(err)
	}
	n.setLinks(map[[2]int]Link{{1, 0}: {Cut: true}})
	if err := roundTrip(300 * time.Millisecond); err == nil {
		t.Error("the reply came through a cut link")
	}
	n.setLinks(nil) // the delayed data arrives
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := r.ReadString('\n'); err != nil {
		t.Error(err)
	}
	c.Close()
	echo.Close()
	<-done
	w.Close()
}

package runner

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/pool"
)

var testStart = time.Unix(1000, 0)

// newRunner returns a runner with one service, whose backend servers state that they started then, and
// its log.
func newRunner(started int64) (*Runner, *bytes.Buffer) {
	var lines bytes.Buffer
	table := &sardinerock.RouteTable{
		Routes: []sardinerock.Route{
			{Name: "b", Kind: sardinerock.RouteBatch, Shares: []sardinerock.ServiceShare{{Service: "s", Weight: 1}}, CompletionTarget: 18 * time.Second},
		},
		Services: map[string]sardinerock.ServiceInfo{"s": {ReservationTTL: time.Second}},
	}
	p := &pool.Pool{Name: "a", Random: rand.New(rand.NewPCG(1, 1))}
	var list []sardinerock.BackendServer
	for n := range 8 {
		list = append(list, sardinerock.BackendServer{ID: fmt.Sprint("i-", n), Service: "s", Slots: 8, Started: started})
	}
	p.SetServers(list)
	r := &Runner{
		Name: "a", Pool: p, Table: func() *sardinerock.RouteTable { return table }, Metrics: metrics.NewRegistry(),
		ViewAge: func() time.Duration { return 100 * time.Millisecond },
		Events:  &event.Logger{Sink: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}},
	}
	r.Prepare()
	for range 30 {
		r.estimator.RecordRun(100, 5*time.Second)
		r.estimator.RecordItem(100, 0)
	}
	return r, &lines
}

func (r *Runner) addRunning(key uint64, last string, age, left time.Duration) {
	now := time.Now()
	r.items[key] = &item{
		key: key, running: true, server: "i-0", service: "s", position: sardinerock.Position{LastEvent: last}, started: now.Add(-age), due: now.Add(left),
		cancel: func() {}, body: &sardinerock.BatchItem{ID: fmt.Sprint("item", key)},
	}
}

// Where backend servers state their starts, the run with the least slot time is preempted. Elsewhere
// decisions must be as before: the item with the latest due time is, at once.
func TestWhichItemIsPreempted(t *testing.T) {
	for name, test := range map[string]struct {
		started int64
		want    uint64
		delay   time.Duration
	}{"starts not stated": {0, 2, 0}, "starts stated": {1, 1, 150 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, lines := newRunner(test.started)
			r.addRunning(1, "30", time.Second, 20*time.Second)
			r.addRunning(2, "90", 4*time.Second, 30*time.Second)
			g.Expect(r.excessDelay("i-0")).To(Equal(test.delay))
			g.Expect(r.PreemptOne("i-0")).To(BeTrue())
			g.Expect(r.items[test.want].preempted).To(BeTrue())
			g.Expect(lines.String()).To(ContainSubstring(`"event":513`))
			g.Expect(lines.String()).To(And(ContainSubstring(`"held":`), ContainSubstring(`"remaining":`)))
			g.Expect(metrics.GetOrRegisterCounter("batch.gaveWayMillis", r.Metrics).Count()).To(BeNumerically(">=", 1000))
		})
	}
}

// Online requests come in bursts. Items must leave slots free except where they are at risk, and only
// where backend servers state their starts; the log must show it in few lines.
func TestItemsLeaveHeadroom(t *testing.T) {
	for name, test := range map[string]struct {
		started  int64
		headroom int
		lines    int
	}{"starts not stated": {0, 0, 0}, "starts stated": {1, 1, 1}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r, lines := newRunner(test.started)
			for n := range 100 {
				loads := []pool.Load{{Server: pool.Hash("i-0"), Online: 2 + n%50/5}}
				r.Pool.SetPeer("b", loads, testStart)
				r.observeOnline(testStart.Add(time.Duration(n) * 100 * time.Millisecond))
			}
			route := &r.Table().Routes[0]
			relaxed := candidate{OpenItem: ledger.OpenItem{CreatedAt: time.Now()}, route: route, service: "s"}
			urgent := candidate{OpenItem: ledger.OpenItem{CreatedAt: time.Now().Add(-12 * time.Second)}, route: route, service: "s"}
			atRisk, others := r.splitByRisk([]candidate{relaxed, urgent})
			g.Expect(others[0].headroom).To(Equal(test.headroom))
			g.Expect(len(atRisk)).To(Equal(min(test.headroom, 1)))
			g.Expect(strings.Count(lines.String(), `"event":522`)).To(Equal(test.lines))
		})
	}
}

// Jobs share the slots only where backend servers state their starts.
func TestOrderOfItems(t *testing.T) {
	for name, test := range map[string]struct {
		started int64
		ahead   int
	}{"starts not stated": {0, 100}, "starts stated": {1, 19}} {
		t.Run(name, func(t *testing.T) {
			r, _ := newRunner(test.started)
			var open []ledger.OpenItem
			for n := range 100 {
				open = append(open, ledger.OpenItem{Job: "large", Route: "b", CreatedAt: testStart, Index: n})
			}
			open = append(open, ledger.OpenItem{Job: "small", Route: "b", CreatedAt: testStart.Add(1850 * time.Millisecond)})
			r.sortOpen(open, r.Table())
			NewWithT(t).Expect(open[test.ahead].Job).To(Equal("small"))
		})
	}
}

// A service to which no batch route leads any more isn't observed. Its free slots must not stay in the gauge, and
// must not limit items when a route leads to it again.
func TestHeadroomEndsWithTheRoute(t *testing.T) {
	g := NewWithT(t)
	r, _ := newRunner(1)
	for n := range 100 {
		r.Pool.SetPeer("b", []pool.Load{{Server: pool.Hash("i-0"), Online: 1 + n%50/25*7}}, testStart)
		r.observeOnline(testStart.Add(time.Duration(n) * 100 * time.Millisecond))
	}
	gauge := metrics.GetOrRegisterGauge("batch.headroom", r.Metrics)
	g.Expect(gauge.Value()).To(BeNumerically(">", 0))
	r.Table = func() *sardinerock.RouteTable { return &sardinerock.RouteTable{} }
	r.observeOnline(testStart.Add(11 * time.Second))
	g.Expect(gauge.Value()).To(BeZero())
	g.Expect(r.headroom).To(BeEmpty())
}

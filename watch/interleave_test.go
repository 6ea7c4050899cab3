package watch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinerock/sardinerock"
)

// interleavings is the number of random runs per test.
var interleavings = flag.Int("interleavings", 10_000, "random runs")

// TestConfigurationInterleavings applies configurations to a table in random order: new ones, old ones
// from a store that lost its history, malformed ones, and removals. The version in force must never
// decrease, and must be the highest one applied.
func TestConfigurationInterleavings(t *testing.T) {
	for seed := range uint64(*interleavings) {
		r := rand.New(rand.NewPCG(seed, 2))
		table := newTable()
		newest := int64(0)
		for range 20 {
			version := 1 + r.Int64N(30)
			text := fmt.Sprint(version)
			switch r.IntN(8) {
			case 0:
				text, version = "broken", 0
			case 1:
				text, version = "", 0
			}
			table.Apply(record("config", text), r.IntN(3) == 0)
			newest = max(newest, version)
			if current := table.Current(); current != nil && current.Version != newest || current == nil && newest > 0 {
				t.Fatalf("seed %d: in force %v, want version %d", seed, current, newest)
			}
		}
	}
}

// TestRegistrationInterleavings applies new, draining, expired and repeated registrations in random order,
// with old ones after new ones. A draining backend server must not be listed as available
// again; one that is removed while the store is available must be dropped at once; one of which the
// registration expired in an outage must be kept for reregisterTime and not longer.
func TestRegistrationInterleavings(t *testing.T) {
	for seed := range uint64(*interleavings) {
		if failure := checkRegistrations(seed); failure != "" {
			t.Fatalf("seed %d: %s", seed, failure)
		}
	}
}

// registration is the last registration of a backend server. listed is set while the list has to hold the
// server.
type registration struct {
	sequence int64
	draining bool
	listed   bool
}

func checkRegistrations(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 3))
	l := newList()
	state := map[string]*registration{}
	for _, id := range []string{"a", "b", "c"} {
		state[id] = &registration{}
	}
	outage := false
	for range 30 {
		id := []string{"a", "b", "c"}[r.IntN(3)]
		reg := state[id]
		switch r.IntN(7) {
		case 0, 1, 2:
			reg.sequence++
			reg.draining = reg.draining || r.IntN(4) == 0
			reg.listed = true
			l.Apply(registrationOf(id, reg.sequence, reg.draining), false)
		case 3:
			if reg.listed && reg.sequence > 1 {
				l.Apply(registrationOf(id, reg.sequence-1, false), false)
			}
		case 4:
			l.Apply(record(id, ""), false)
			if !outage || reg.draining {
				// The next registration would be by another incarnation, with another id.
				delete(l.known, id)
				*reg = registration{sequence: reg.sequence + 1, draining: reg.draining}
			}
		case 5:
			l.StoreRecovered()
			outage = true
		case 6:
			l.Expire(time.Now().Add(2 * reregisterTime))
			for lapsed, reg := range state {
				if _, ok := l.servers[lapsed]; !ok {
					reg.listed = false
				}
			}
			l.mu.Lock()
			l.recoveredAt = time.Time{}
			l.mu.Unlock()
			outage = false
		}
		for other, reg := range state {
			b, ok := l.servers[other]
			if ok && reg.draining && !b.Draining {
				return other + " is draining, but listed as available"
			}
			if reg.listed && !ok && !outage {
				return other + " is registered, but not listed"
			}
		}
		if len(l.lapsed) > 0 && !outage {
			return "a backend server is kept as lapsed without an outage of the store"
		}
	}
	return ""
}

func registrationOf(id string, sequence int64, draining bool) []sardinerock.StoreRecord {
	state := "r"
	if draining {
		state = "d"
	}
	return record(id, fmt.Sprint(state, sequence))
}

// TestIncarnationInterleavings applies registrations of several incarnations of each name in random order,
// late and repeated ones included, with removals, reloads, unreadable ones and outages between. The list
// must hold at most one incarnation of a name, and none older than the latest that was registered.
func TestIncarnationInterleavings(t *testing.T) {
	for seed := range uint64(*interleavings) {
		r := rand.New(rand.NewPCG(seed, 4))
		l := newList()
		latest := map[string]int{}
		for range 40 {
			name := []string{"a", "b"}[r.IntN(2)]
			switch r.IntN(8) {
			case 0:
				l.Apply(record(name, ""), false)
			case 1:
				l.Apply(record(name, "x"), false)
			case 2:
				l.StoreRecovered()
			case 3:
				l.Expire(time.Now().Add(2 * reregisterTime))
			default:
				start, sequence := max(latest[name]+r.IntN(4)-2, 1), r.Int64N(9)
				// From its fifth registration on, each incarnation drains.
				text := registrationOf(name, sequence, sequence > 4)[0].Value
				l.Apply(record(name, fmt.Sprint(string(text), "@", start)), r.IntN(4) == 0)
				latest[name] = max(latest[name], start)
			}
			listed := map[string]bool{}
			for id, b := range l.servers {
				if listed[b.Name] || int(b.Started) < latest[b.Name] {
					t.Fatalf("seed %d: %s is listed, the latest start is %d: %v", seed, id, latest[b.Name], l.ids())
				}
				listed[b.Name] = true
			}
		}
	}
}

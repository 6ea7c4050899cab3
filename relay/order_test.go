package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/pool"
)

// withTeams gives the testbed teams whose keys are their names.
func (s *testbed) withTeams(teams ...*sardinerock.TeamInfo) *testbed {
	keys := map[sardinerock.KeyDigest]*sardinerock.TeamInfo{}
	for _, m := range teams {
		keys[sardinerock.DigestKey(m.Name)] = m
	}
	s.table.Teams = sardinerock.NewTeamTable(teams, keys)
	s.access.Quota = s.quota()
	for i := range s.table.Routes {
		s.table.Routes[i].LatencyTarget, s.table.Routes[i].Timeout = 10*time.Second, 20*time.Second
	}
	return s
}

// slowCheck is the time that a check of a waiting request takes on a busy machine.
const slowCheck = 15 * time.Millisecond

// postAs sends a request and ignores the response.
func (s *testbed) postAs(path, id, key string) {
	r, _ := http.NewRequest(http.MethodPost, s.front.URL+path, strings.NewReader("body"))
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Token-Usage", s.tokens)
	r.Header.Set("X-Api-Key", key)
	if resp, err := s.front.Client().Do(r); err == nil {
		resp.Body.Close()
	}
}

// All slots are taken, and requests wait. When one slot comes free, an urgent request must get
// it before one that came earlier, and a team that holds all slots must come after teams
// that use less. Otherwise one team's excess delays all others. The order must hold also if the checks of
// waiting requests take long, as on a busy machine.
func TestFreedSlotGoesToTheFirstInOrder(t *testing.T) {
	for name, c := range map[string]struct {
		team                 sardinerock.TeamInfo
		urgentPath, otherKey string
		checkTime            time.Duration
	}{
		"priority of the team":              {team: sardinerock.TeamInfo{Name: "urgent", HasPriority: true}, urgentPath: "/once/x", otherKey: "calm"},
		"priority of the route":             {team: sardinerock.TeamInfo{Name: "urgent"}, urgentPath: "/safe/x", otherKey: "calm"},
		"team that holds all slots":         {team: sardinerock.TeamInfo{Name: "urgent"}, urgentPath: "/once/x", otherKey: "large"},
		"slow checks, priority of the team": {team: sardinerock.TeamInfo{Name: "urgent", HasPriority: true}, urgentPath: "/once/x", otherKey: "calm", checkTime: slowCheck},
		"slow checks, priority of the route": {
			team: sardinerock.TeamInfo{Name: "urgent"}, urgentPath: "/safe/x", otherKey: "calm", checkTime: slowCheck,
		},
		"slow checks, team that holds all slots": {team: sardinerock.TeamInfo{Name: "urgent"}, urgentPath: "/once/x", otherKey: "large", checkTime: slowCheck},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t).withReservations().withTeams(&c.team, &sardinerock.TeamInfo{Name: "calm"}, &sardinerock.TeamInfo{Name: "large"})
			// With fewer slots, a team that holds nearly all of them is within the tolerance of a fair share.
			const slotsEach = 4
			for i := range s.servers {
				s.servers[i].Slots = slotsEach
			}
			s.pool.SetServers(s.servers)
			s.relay.ViewAge = func() time.Duration {
				time.Sleep(c.checkTime)
				return 0
			}
			for i := range s.table.Routes {
				if s.table.Routes[i].Prefix != "/safe/" {
					s.table.Routes[i].Priority = 2
				}
			}
			release, held, started := make(chan struct{}), make(chan struct{}, 20), make(chan string, 10)
			var arrived atomic.Int64
			s.access.Table = func() *sardinerock.RouteTable {
				arrived.Add(1)
				return s.current()
			}
			// post sends requests and waits until they have arrived.
			post := func(n int64, path, id, key string) {
				before := arrived.Load()
				for range n {
					go s.postAs(path, id, key)
				}
				s.g.Eventually(arrived.Load, 10*time.Second).Should(BeNumerically(">=", before+n))
			}
			s.fallback = func(c net.Conn, r *http.Request) {
				switch id := r.Header.Get("Request-Id"); {
				case strings.HasSuffix(r.URL.Path, "/x") && id == "first":
					held <- struct{}{}
					<-release
				case strings.HasSuffix(r.URL.Path, "/x"):
					started <- id
				default:
					slotReserved(c, r)
					return
				}
				completeResponse(200, "")(c, r)
			}
			const slots = 3 * slotsEach
			post(slots, "/once/x", "first", "large")
			for range slots {
				s.g.Eventually(held, 10*time.Second).Should(Receive())
			}
			post(2, "/once/x", "other", c.otherKey)
			post(2, c.urgentPath, "urgent", "urgent")
			if c.otherKey == "large" {
				post(1, "/once/x", "urgent", "calm")
			}
			// From their arrival the requests take less than this to be queued.
			time.Sleep(50*time.Millisecond + 4*c.checkTime)
			s.g.Expect(started).To(BeEmpty())
			release <- struct{}{}
			for range 2 {
				var id string
				s.g.Eventually(started, 10*time.Second).Should(Receive(&id))
				s.g.Expect(id).To(Equal("urgent"))
			}
			close(release)
		})
	}
}

// Many callers are rejected at once while all slots are taken. Where callers have teams,
// their retry delays must differ; elsewhere they must stay as computed.
func TestRejectedCallersOfTeamsRetryAtDifferentTimes(t *testing.T) {
	for name, delays := range map[string]int{"teams": 3, "no teams": 1} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t).withReservations()
			if name == "teams" {
				s.withTeams(&sardinerock.TeamInfo{Name: "team"})
				s.key = "team"
			}
			s.relay.Random = rand.New(rand.NewPCG(1, 1))
			s.table.Routes[1].EventTimeout, s.table.Routes[1].Timeout, s.wait = 100*time.Millisecond, time.Minute, "5000"
			s.table.Routes[1].LatencyTarget = 10 * time.Millisecond
			for i := range 3 {
				s.pool.SetPeer(fmt.Sprint("peer", i), []pool.Load{{Server: pool.Hash(fmt.Sprint("i-", i)), Online: 4}}, time.Now().Add(time.Hour))
			}
			seen := map[string]bool{}
			for range 6 {
				resp, _, err := s.post("/stream/x")
				s.g.Expect(err).NotTo(HaveOccurred())
				s.g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
				seen[resp.Header.Get("Retry-After-Ms")+resp.Header.Get("Retry-After")] = true
			}
			s.g.Expect(len(seen)).To(BeNumerically(">=", delays))
			if delays == 1 {
				s.g.Expect(seen).To(HaveLen(1))
			}
		})
	}
}

// Thousands of teams send requests. Only a bounded number may have metrics of their own, or
// the memory and the page of metrics would grow with the teams.
func TestMetricsByTeamAreBounded(t *testing.T) {
	const teams = 120
	s := newTestbed(t)
	var list []*sardinerock.TeamInfo
	for n := range teams {
		list = append(list, &sardinerock.TeamInfo{Name: fmt.Sprint("team-", n)})
	}
	s.withTeams(list...)
	s.fallback = completeResponse(200, "")
	for n := range teams {
		s.postAs("/once/x", "r", fmt.Sprint("team-", n))
	}
	// An outcome is counted after its response was written.
	others := func() (outcomes int64) {
		for _, outcome := range []string{"served", "failed", "left"} {
			outcomes += metrics.GetOrRegisterCounter("team.others."+outcome, s.relay.Metrics).Count()
		}
		return outcomes
	}
	s.g.Eventually(others).Should(BeNumerically("==", teams-100), "%v", s.relay.Metrics.GetAll())
	named := map[string]bool{}
	s.relay.Metrics.Each(func(name string, _ any) {
		if rest, ok := strings.CutPrefix(name, "team."); ok {
			team, _, _ := strings.Cut(rest, ".")
			named[team] = true
		}
	})
	s.g.Expect(named).To(HaveLen(101))
}

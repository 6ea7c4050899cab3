package watch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/platform"
	"github.com/sardinerock/sardinerock/platform/stand"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/watch"
)

// oddRegistrations are records among the registrations that no backend server writes.
func oddRegistrations() map[string]string {
	odd := map[string]string{
		"no JSON":        "\x00\xff{",
		"empty":          " ",
		"a list":         "[[[]]]",
		"unclosed lists": strings.Repeat("[", 200_000),
	}
	for _, depth := range []int{500, 20_000, 100_000} {
		odd[fmt.Sprint("lists in lists, ", depth)] = strings.Repeat("[", depth) + strings.Repeat("]", depth)
		odd[fmt.Sprint("objects in objects, ", depth)] = strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
		odd[fmt.Sprint("a field of lists in lists, ", depth)] = registration("10.3.0.9:8000", fmt.Sprintf(`,"other":%s%s`, strings.Repeat("[", depth), strings.Repeat("]", depth)))
	}
	for _, field := range []string{"slots", "sequence", "cold_remaining_ms", "born"} {
		for _, number := range []string{"9223372036854775807", "9223372036854775808", "-9223372036854775808", "1e18", "1e999", "-1", strings.Repeat("9", 100_000)} {
			odd[fmt.Sprintf("%s %.25s", field, number)] = registration("10.3.0.9:8000", fmt.Sprintf(`,%q:%s`, field, number))
		}
	}
	for _, port := range []string{"0", "-1", "65536", "99999999999999999999", "", "http", "8000:1"} {
		odd["port "+port] = registration("10.3.0.9:"+port, "")
	}
	return odd
}

// registration returns the registration of a ready backend server. Of a field that is stated twice, JSON decoders take the second.
func registration(address, further string) string {
	return fmt.Sprintf(`{"service":"models","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":3%s}`, address, further)
}

// TestOddRegistrationsAreSurvived guards against a record among the registrations that no backend server has written ending this
// process, or ending that it follows the list, and against the sound backend servers not being used any more.
func TestOddRegistrationsAreSurvived(t *testing.T) {
	const topic = platform.TopicServers
	for name, odd := range oddRegistrations() {
		for _, listed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, listed before the start %v", name, listed), func(t *testing.T) {
				g := NewWithT(t)
				server := &stand.Server{}
				front := httptest.NewServer(server)
				defer front.Close()
				put := func(id, value string) {
					_, err := server.Append(t.Context(), topic, []sardinerock.StoreRecord{{Key: id, Value: []byte(value)}})
					g.Expect(err).NotTo(HaveOccurred())
				}
				p := &pool.Pool{Name: "front", Random: rand.New(rand.NewPCG(1, 1))}
				var mu sync.Mutex
				ids := map[string]bool{}
				s := &watch.Servers{Parse: platform.ParseServer, Events: &event.Logger{}, Metrics: metrics.NewRegistry(), Changed: func(list []sardinerock.BackendServer) {
					p.SetServers(list)
					mu.Lock()
					defer mu.Unlock()
					clear(ids)
					for _, b := range list {
						ids[b.Name] = true
					}
				}}
				known := func(id string) func() bool {
					return func() bool {
						mu.Lock()
						defer mu.Unlock()
						return ids[id]
					}
				}
				follower := &watch.Follower{Store: platform.NewStore(strings.TrimPrefix(front.URL, "http://")), Topic: topic, Apply: s.Apply, Wait: 100 * time.Millisecond, Events: &event.Logger{}}
				follower.Prepare()
				put("sound-1", registration("10.3.0.7:8000", ""))
				if listed {
					put("odd-1", odd)
					put("odd-2", odd)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go follower.Run(ctx)
				g.Eventually(known("sound-1"), 5*time.Second, time.Millisecond).Should(BeTrue())
				if !listed {
					put("odd-1", odd)
					put("odd-2", odd)
				}
				put("sound-2", registration("10.3.0.8:8000", ""))
				g.Eventually(known("sound-2"), 5*time.Second, time.Millisecond).Should(BeTrue())
				g.Expect(known("sound-1")()).To(BeTrue())

				_, slots := p.Online("models", time.Now())
				g.Expect(slots).To(BeNumerically(">=", 8))
				g.Expect(p.FreeSlots("models", 0, time.Now())).To(BeNumerically(">=", 8))
				used := map[string]bool{}
				for range 40 {
					choice, ok := p.ChooseOnline("models", &pool.Request{}, time.Now())
					g.Expect(ok).To(BeTrue())
					used[choice.Name] = true
				}
				g.Expect(used).To(And(HaveKey("sound-1"), HaveKey("sound-2")))
			})
		}
	}
}

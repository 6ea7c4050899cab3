package purge

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/blobs"
	"github.com/sardinerock/sardinerock/commit"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/ledger"
	"github.com/sardinerock/sardinerock/memkv"
	"github.com/sardinerock/sardinerock/watch"
)

const testPartitions = 2

var testTopics = blobs.Topics{Bodies: "bodies", Results: "results", Progress: "progress"}

// newPurger returns a purger of a store, with its own view and running appenders.
func newPurger(t *testing.T, store *memkv.Store) *Purger {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	events := &event.Logger{}
	l := &ledger.Ledger{Events: events}
	l.Prepare()
	start := func(topic string, apply func([]sardinerock.StoreRecord, bool)) (*watch.Follower, *commit.Appender) {
		f := &watch.Follower{Store: store, Topic: topic, Apply: apply, Events: events}
		f.Prepare()
		a := &commit.Appender{Store: store, Topic: topic, Follower: f, Ledger: l, RecordBytes: 1000, AppendBytes: 50_000, Events: events, Metrics: metrics.NewRegistry()}
		a.Prepare()
		go f.Run(ctx)
		return f, a
	}
	follower, jobs := start("jobs", l.ApplyJobs)
	_, recorder := start("work", l.ApplyWork)
	recorder.Writer = "w"
	go jobs.Run(ctx)
	go recorder.Run(ctx)
	return &Purger{
		Name: "a", Ledger: l, Jobs: jobs, Recorder: recorder, WaitForJobs: follower.AwaitCurrent, Owners: func() []string { return []string{"a"} },
		Blobs:     &blobs.Client{Store: store, Topics: testTopics, Partitions: testPartitions, RecordBytes: 1000, AppendBytes: 50_000, Events: events, Metrics: metrics.NewRegistry()},
		Retention: time.Millisecond,
		Events:    events,
	}
}

// addJob accepts a job of one item with a creation time long ago, and records its result if
// finished is set.
func (p *Purger) addJob(g *WithT, id string, finished bool) {
	ctx := context.Background()
	bodies, err := p.Blobs.WriteItems(ctx, id, []sardinerock.BatchItem{{ID: "item", Path: "/", Body: []byte(strings.Repeat("b", 3000))}})
	g.Expect(err).NotTo(HaveOccurred())
	verdict, err := p.Jobs.Submit(ctx, func(plan *ledger.Plan) (ledger.Verdict, error) {
		return plan.Accept(&ledger.Accepted{ID: id, Route: "r", CreatedAt: 1000, Tokens: []int64{1}, Bodies: bodies}, 0)
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(verdict).To(Equal(ledger.Applied))
	g.Expect(p.Blobs.WriteProgress(ctx, id, map[int]blobs.Progress{0: {Position: sardinerock.Position{LastEvent: "1", Origin: sardinerock.Origin{Service: "s"}}, Text: "e1"}}, nil)).To(Succeed())
	if !finished {
		return
	}
	text, err := p.Blobs.WriteResult(ctx, id, 0, "text")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.Recorder.Submit(ctx, func(plan *ledger.Plan) (ledger.Verdict, error) {
		return plan.Finish(id, 0, &ledger.Outcome{Item: "item", Succeeded: true, Text: text})
	})
	g.Expect(err).NotTo(HaveOccurred())
}

// remainingKeys returns the keys that still have a value, over all topics.
func remainingKeys(g *WithT, store *memkv.Store) []string {
	partitions := []string{"jobs", "work"}
	for _, topic := range []string{testTopics.Bodies, testTopics.Results, testTopics.Progress} {
		for n := range testPartitions {
			partitions = append(partitions, sardinerock.PartitionName(topic, n))
		}
	}
	var keys []string
	for _, name := range partitions {
		page, err := store.Newest(context.Background(), name, "")
		g.Expect(err).NotTo(HaveOccurred())
		for _, r := range page.Records {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// A finished job has expired: its bodies, texts and progress must be removed too. A job of
// the same age with an unfinished item must stay complete.
func TestExpiredJobsLeaveNothing(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	purger := newPurger(t, store)
	purger.addJob(g, "over", true)
	purger.addJob(g, "open", false)
	openKeys := keysOf("open", remainingKeys(g, store))
	g.Eventually(func() string {
		purger.expire(context.Background())
		return strings.Join(remainingKeys(g, store), " ")
	}, 20*time.Second).ShouldNot(ContainSubstring("over"))
	g.Expect(keysOf("open", remainingKeys(g, store))).To(Equal(openKeys))
}

func keysOf(job string, keys []string) []string {
	return slices.DeleteFunc(keys, func(key string) bool { return !strings.Contains(key, job) })
}

// Only one entry of the fleet removes expired jobs.
func TestOnlyOneEntryRemovesExpiredJobs(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	purger := newPurger(t, store)
	purger.addJob(g, "over", true)
	before := remainingKeys(g, store)
	purger.Owners = func() []string { return []string{"another"} }
	purger.expire(context.Background())
	g.Expect(remainingKeys(g, store)).To(Equal(before))
}

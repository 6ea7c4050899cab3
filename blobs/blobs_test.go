package blobs

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/chunk"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/memkv"
)

const testRecordBytes = 1000

func newClient(store sardinerock.Store) *Client {
	return &Client{
		Store: store, Topics: Topics{Bodies: "bodies", Results: "results", Progress: "progress"}, Partitions: 5,
		RecordBytes: testRecordBytes, AppendBytes: 4 * testRecordBytes, Events: &event.Logger{}, Metrics: metrics.NewRegistry(),
	}
}

func testItems(n int) []sardinerock.BatchItem {
	items := make([]sardinerock.BatchItem, n)
	for i := range items {
		items[i] = sardinerock.BatchItem{
			ID: fmt.Sprint("item", i), Path: "/x", Tokens: 3, Body: []byte(strings.Repeat("b", 300)),
			Header: map[string]string{"Model": "m", "Another": "header", "Third": "one"},
		}
	}
	return items
}

// dropAll drops the history of all partitions.
func dropAll(store *memkv.Store, c *Client) {
	for _, topic := range []string{c.Topics.Bodies, c.Topics.Results, c.Topics.Progress} {
		for n := range c.Partitions {
			store.Compact(sardinerock.PartitionName(topic, n))
		}
	}
}

// An entry accepts a job and fails; another entry runs its items and a third reads them. All
// must read the same items, whether these need one record or several appends, and whether or
// not the store still keeps their history.
func TestItemsAreReadAsWritten(t *testing.T) {
	for name, test := range map[string]struct {
		items int
		drop  bool
	}{
		"one record":                       {1, false},
		"several records":                  {8, false},
		"several appends":                  {60, false},
		"one record without history":       {1, true},
		"several appends, without history": {60, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &memkv.Store{PageSize: 3}
			content, err := newClient(store).WriteItems(context.Background(), "job", testItems(test.items))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = newClient(store).WriteItems(context.Background(), "job-2", testItems(2))
			g.Expect(err).NotTo(HaveOccurred())
			other := newClient(store)
			if test.drop {
				dropAll(store, other)
			}
			items, err := other.ReadItems(context.Background(), "job", &content)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(items).To(Equal(testItems(test.items)))
		})
	}
}

// The response to an append is lost, so the append is repeated, and the first one takes
// effect even later. Meanwhile the caller resends the job to another entry, which writes it
// as well. Reads at either location must return the same items.
func TestRepeatedWritesReadTheSame(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	a, b := newClient(store), newClient(store)
	lost := 0
	store.SetFault(func(call, _ string) memkv.Fault {
		if lost++; call == "append" && lost == 1 {
			return memkv.DelayAppend
		}
		return memkv.NoFault
	})
	first, err := a.WriteItems(context.Background(), "job", testItems(8))
	g.Expect(err).NotTo(HaveOccurred())
	second, err := b.WriteItems(context.Background(), "job", testItems(8))
	g.Expect(err).NotTo(HaveOccurred())
	store.ApplyDelayed()
	for range 2 {
		for _, content := range []sardinerock.ContentRef{first, second} {
			items, err := newClient(store).ReadItems(context.Background(), "job", &content)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(items).To(Equal(testItems(8)))
		}
		dropAll(store, a)
	}
}

// Results of one job are read together, some of them without a text. Two entries ran the same
// item and stored different texts; the read must return the text at the requested location.
func TestResultsAreReadAsWritten(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{PageSize: 2}
	c := newClient(store)
	var locations []Result
	var want []string
	for n := range 9 {
		text := strings.Repeat(fmt.Sprint("text ", n, " "), 1+40*n)
		content, err := c.WriteResult(context.Background(), "job", n, text)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = newClient(store).WriteResult(context.Background(), "job", n, "another's")
		g.Expect(err).NotTo(HaveOccurred())
		locations, want = append(locations, Result{Index: n, Content: content}), append(want, text)
	}
	locations, want = append(locations, Result{Index: 9}), append(want, "")
	for range 2 {
		got, err := newClient(store).ReadResults(context.Background(), "job", locations)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
		dropAll(store, c)
	}
}

// Two entries run the same item, because each considers the other failed, and alternately
// save its progress. A third entry resumes from one complete record; if it mixed the records
// of both, an event would appear twice in the text.
func TestProgressOfTwoEntriesIsNotMixed(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{PageSize: 1}
	a, b := newClient(store), newClient(store)
	save := func(c *Client, last, text string) {
		g.Expect(c.WriteProgress(context.Background(), "job", map[int]Progress{4: {Position: sardinerock.Position{LastEvent: last, Origin: sardinerock.Origin{Service: "s", Version: "v1"}}, Text: text}}, nil)).To(Succeed())
	}
	save(a, "2", "e1\ne2")
	save(b, "1", "e1")
	save(a, "4", "e1\ne2\ne3\ne4")
	save(b, "3", "e1\ne2\ne3")
	for range 2 {
		progress, err := newClient(store).ReadProgress(context.Background(), "job")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(progress).To(Equal(map[int]Progress{4: {Position: sardinerock.Position{LastEvent: "3", Origin: sardinerock.Origin{Service: "s", Version: "v1"}}, Text: "e1\ne2\ne3"}}))
		dropAll(store, a)
	}
	g.Expect(b.WriteProgress(context.Background(), "job", nil, []int{4})).To(Succeed())
	progress, err := a.ReadProgress(context.Background(), "job")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(progress).To(BeEmpty())
}

// Progress that is larger than one record is not written, and a record that cannot be read is
// skipped. These items start over, and the other items of the job keep their progress.
func TestUnusableProgressIsSkipped(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	c := newClient(store)
	progress := map[int]Progress{1: {Position: sardinerock.Position{LastEvent: "9", Origin: sardinerock.Origin{Service: "s", Version: "v1"}}, Text: strings.Repeat("x", 2*testRecordBytes)}, 2: {Position: sardinerock.Position{LastEvent: "1", Origin: sardinerock.Origin{Service: "s", Version: "v1"}}, Text: "e1"}}
	g.Expect(c.WriteProgress(context.Background(), "job", progress, nil)).To(Succeed())
	_, err := store.Append(context.Background(), sardinerock.PartitionName("progress", c.partition("job")),
		[]sardinerock.StoreRecord{{Key: "job/3/0", Value: []byte("\x00not progress")}, {Key: "job/x/0", Value: []byte{0}}})
	g.Expect(err).NotTo(HaveOccurred())
	read, err := c.ReadProgress(context.Background(), "job")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(map[int]Progress{2: {Position: sardinerock.Position{LastEvent: "1", Origin: sardinerock.Origin{Service: "s", Version: "v1"}}, Text: "e1"}}))
}

// A location is wrong, or its value was removed. The reader must get an error and no other
// bytes.
func TestMissingValuesAreReported(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	c := newClient(store)
	content, err := c.WriteResult(context.Background(), "job", 0, "text")
	g.Expect(err).NotTo(HaveOccurred())
	wrong := content
	wrong.Digest++
	_, err = c.ReadResults(context.Background(), "job", []Result{{Content: wrong}})
	g.Expect(err).To(MatchError(ErrMissing))
	g.Expect(c.RemoveJob(context.Background(), "job", &sardinerock.ContentRef{}, []Result{{Content: content}})).To(Succeed())
	dropAll(store, c)
	_, err = c.ReadResults(context.Background(), "job", []Result{{Content: content}})
	g.Expect(err).To(MatchError(ErrMissing))
}

// The values of a removed job are removed; those of a job whose id starts with the same
// characters stay.
func TestRemovedJobLeavesNothing(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	c := newClient(store)
	for _, job := range []string{"job", "job-2"} {
		bodies, err := c.WriteItems(context.Background(), job, testItems(8))
		g.Expect(err).NotTo(HaveOccurred())
		text, err := c.WriteResult(context.Background(), job, 1, strings.Repeat("x", 3*testRecordBytes))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.WriteProgress(context.Background(), job, map[int]Progress{0: {Position: sardinerock.Position{LastEvent: "1", Origin: sardinerock.Origin{Service: "s", Version: "v1"}}, Text: "e1"}}, nil)).To(Succeed())
		if job == "job" {
			g.Expect(c.RemoveJob(context.Background(), job, &bodies, []Result{{Index: 1, Content: text}})).To(Succeed())
		}
	}
	remaining := map[string]int{}
	for _, topic := range []string{"bodies", "results", "progress"} {
		for n := range c.Partitions {
			page, err := store.Newest(context.Background(), sardinerock.PartitionName(topic, n), "")
			g.Expect(err).NotTo(HaveOccurred())
			for _, r := range page.Records {
				name, _, _ := strings.Cut(r.Key, "/")
				remaining[name]++
			}
		}
	}
	g.Expect(remaining).To(HaveLen(1))
	g.Expect(remaining).To(HaveKey("job-2"))
}

// The store is unreachable: a write is retried until its caller's time is up, and a later one
// succeeds once the store is back.
func TestWritesOutliveAnOutage(t *testing.T) {
	g := NewWithT(t)
	store := &memkv.Store{}
	store.SetFault(func(string, string) memkv.Fault { return memkv.Reject })
	c := newClient(store)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.WriteResult(ctx, "job", 0, "text")
	g.Expect(err).To(MatchError(sardinerock.ErrStoreRefused))
	time.AfterFunc(100*time.Millisecond, func() { store.SetFault(nil) })
	_, err = c.WriteResult(context.Background(), "job", 0, "text")
	g.Expect(err).NotTo(HaveOccurred())
}

// fitAppend must put several records into an append without exceeding its size, and always at
// least one, or a write would never advance.
func TestFittingFillsAppends(t *testing.T) {
	g := NewWithT(t)
	c := newClient(&memkv.Store{})
	records := chunk.Records("key", make([]byte, 20*testRecordBytes), testRecordBytes)
	n := c.fitAppend(records)
	g.Expect(n).To(BeNumerically(">", 1))
	g.Expect(n).To(BeNumerically("<", len(records)))
	g.Expect(c.fitAppend(records[:1])).To(Equal(1))
}

package items

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/ledger"
)

func openJob(team, job string, created time.Duration, count int) []ledger.OpenItem {
	var open []ledger.OpenItem
	for n := range count {
		open = append(open, ledger.OpenItem{Team: team, Job: job, Route: "r", CreatedAt: testStart.Add(created), Index: n})
	}
	return open
}

func shareTable(teams ...string) *sardinerock.RouteTable {
	table := &sardinerock.RouteTable{Routes: []sardinerock.Route{{Name: "r", CompletionTarget: 18 * time.Second}}}
	if len(teams) > 0 {
		var infos []*sardinerock.TeamInfo
		for _, name := range teams {
			infos = append(infos, &sardinerock.TeamInfo{Name: name})
		}
		table.Teams = sardinerock.NewTeamTable(infos, nil)
	}
	return table
}

// One job of 200 items must not delay a job of 10 items that is due a second later, nor one team with
// many jobs another team's job. A job that is due much later must wait.
func TestSmallJobIsNotDelayed(t *testing.T) {
	for name, test := range map[string]struct {
		open  []ledger.OpenItem
		teams []string
		// ahead is the number of items that start before the last one of the job named small.
		ahead int
	}{
		"large job":             {append(openJob("", "large", 0, 200), openJob("", "small", time.Second, 10)...), nil, 28},
		"due much later":        {append(openJob("", "large", 0, 200), openJob("", "small", 4*time.Second, 10)...), nil, 209},
		"team with many jobs":   {append(manyJobs("a"), openJob("b", "small", time.Second, 10)...), []string{"a", "b"}, 28},
		"teams not configured":  {append(manyJobs("a"), openJob("b", "small", time.Second, 10)...), nil, 209},
		"one team with two job": {append(manyJobs("a"), openJob("a", "small", time.Second, 10)...), []string{"a"}, 209},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			SortByShare(test.open, shareTable(test.teams...))
			last := -1
			for n := range test.open {
				if test.open[n].Job == "small" {
					last = n
				}
			}
			g.Expect(last).To(BeNumerically("~", test.ahead, 2))
		})
	}
}

func manyJobs(team string) []ledger.OpenItem {
	var open []ledger.OpenItem
	for n := range 20 {
		open = append(open, openJob(team, fmt.Sprint("j", n), 0, 10)...)
	}
	return open
}

// With one team and one job, or with jobs whose due times are far apart, the order must be as before.
func TestOneJobKeepsItsOrder(t *testing.T) {
	for name, open := range map[string][]ledger.OpenItem{
		"one job":         openJob("a", "j", 0, 200),
		"jobs far apart":  append(openJob("a", "j", 0, 50), openJob("b", "k", 5*time.Second, 50)...),
		"many small jobs": append(openJob("a", "j", 0, 1), openJob("a", "k", time.Second, 1)...),
	} {
		t.Run(name, func(t *testing.T) {
			rand.New(rand.NewPCG(1, 1)).Shuffle(len(open), func(a, b int) { open[a], open[b] = open[b], open[a] })
			shared := slices.Clone(open)
			SortByDue(open, shareTable())
			SortByShare(shared, shareTable("a", "b"))
			NewWithT(t).Expect(shared).To(Equal(open))
		})
	}
}

func BenchmarkSortByShare(b *testing.B) {
	table := shareTable("a", "b")
	for name, sort := range map[string]func([]ledger.OpenItem, *sardinerock.RouteTable){"by due": SortByDue, "by share": SortByShare} {
		b.Run(name, func(b *testing.B) {
			open := append(openJob("b", "k", time.Second, 200), manyJobs("a")...)
			unsorted := slices.Clone(open)
			for b.Loop() {
				copy(open, unsorted)
				sort(open, table)
			}
		})
	}
}

func BenchmarkPreempted(b *testing.B) {
	e, runs := trainedEstimator(), slices.Repeat([]Run{{LastEvent: "50", Factor: 1}}, 8)
	b.ReportAllocs()
	for b.Loop() {
		e.Preempted(runs, testStart)
	}
}

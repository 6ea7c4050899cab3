package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// The deployments for which traces can be generated.
const (
	KesslingMarrow = "kessling-marrow"
	Goldfields     = "goldfields"
)

// The seed and the length of the traces in folder traces.
const (
	Seed   = 1
	Length = 20 * time.Second
)

// profile describes the traffic of a deployment.
type profile struct {
	header Header
	// onlinePerSecond is the rate of online requests outside bursts. Every
	// burstEvery the rate is burstPerSecond for burstLength.
	onlinePerSecond float64
	burstEvery      time.Duration
	burstLength     time.Duration
	burstPerSecond  float64
	// online is the pattern of an online request, item that of a job's item.
	online, item Line
	users        int
	prefixes     int
	// callsPerSecond is the rate of calls of plain services, callCaller their
	// caller and paths their possible paths.
	callsPerSecond float64
	callCaller     string
	paths          []string
	// jobs is the number of jobs. itemsPerSecond times the length of the trace is
	// the number of all items, of which the first job has the share firstJobShare.
	jobs           int
	itemsPerSecond float64
	firstJobShare  float64
}

// profiles has the two deployments at their present sizes. The online rates leave
// about two thirds of the engines' slots idle on average and occupy most in a
// burst. The jobs have about as many items as the fleet can process during the
// trace without online work, so with online work batch work never runs out.
var profiles = map[string]profile{
	// Supervisors draft panels with long shared prompts that describe their lines,
	// all at the start of a shift or meeting. Finance submits one large job of
	// reports and many small ones.
	KesslingMarrow: {
		header: Header{
			Deployment: KesslingMarrow, Entries: 3, Sides: 18, Services: 3,
			Zones: []string{"zone1", "zone2", "zone3"}, Model: "panel-drafter", Slots: 8, FirstTokenMs: 250,
			ServiceNames: []string{"widgets"}, Callers: []string{"supervisors", "dashboard", "finance"},
		},
		onlinePerSecond: 35, burstEvery: 5 * time.Second, burstLength: 1200 * time.Millisecond, burstPerSecond: 110,
		online: Line{Caller: "supervisors", Prefix: "line", PrefixTokens: 512, PromptTokens: 120, MaxTokens: 64},
		users:  40, prefixes: 12,
		callsPerSecond: 30, callCaller: "dashboard", paths: []string{"/widgets/oee", "/widgets/scrap", "/widgets/shift"},
		item: Line{Caller: "finance", Prefix: "report", PrefixTokens: 256, PromptTokens: 1200, MaxTokens: 128},
		jobs: 9, itemsPerSecond: 90, firstJobShare: 0.6,
	},
	// Tutors request short comments while they mark a batch of work. The office
	// submits many jobs of packets with long letters.
	Goldfields: {
		header: Header{
			Deployment: Goldfields, Entries: 3, Sides: 18, Services: 3,
			Zones: []string{"zone1", "zone2", "zone3"}, Model: "tutor", Slots: 8, FirstTokenMs: 250,
			ServiceNames: []string{"portal"}, Callers: []string{"tutors", "parents", "office"},
		},
		onlinePerSecond: 45, burstEvery: 7 * time.Second, burstLength: 1500 * time.Millisecond, burstPerSecond: 120,
		online: Line{Caller: "tutors", Prefix: "criteria", PrefixTokens: 384, PromptTokens: 250, MaxTokens: 40},
		users:  60, prefixes: 20,
		callsPerSecond: 25, callCaller: "parents", paths: []string{"/packets/received", "/packets/due"},
		item: Line{Caller: "office", Prefix: "letter", PrefixTokens: 384, PromptTokens: 700, MaxTokens: 256},
		jobs: 24, itemsPerSecond: 50, firstJobShare: 0.1,
	},
}

// HeaderOf returns the header of a deployment's traces, which describes its
// fleet; for an unknown deployment it is empty.
func HeaderOf(deployment string) Header { return profiles[deployment].header }

// jobArrivalWindow is the time at the start of the trace in which all jobs arrive.
const jobArrivalWindow = 300 * time.Millisecond

// Generate generates a trace of a deployment; it is the same for the same seed. An unknown deployment is an error.
func Generate(deployment string, seed uint64, length time.Duration) (*Trace, error) {
	p, ok := profiles[deployment]
	if !ok {
		return nil, merry.Errorf("deployment %q is none of %s, %s", deployment, KesslingMarrow, Goldfields)
	}
	t := &Trace{Header: p.header}
	t.Header.Seed = seed
	t.Header.DurationMs = length.Milliseconds()
	random := rand.New(rand.NewPCG(seed, seed))
	p.addOnline(t, random, length)
	p.addCalls(t, random, length)
	p.addJobs(t, random, length)
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return t, nil
}

func (p *profile) addOnline(t *Trace, random *rand.Rand, length time.Duration) {
	for at := time.Duration(0); ; {
		rate := p.onlinePerSecond
		// The first burst starts after half a period, when batch work occupies the fleet.
		if (at+p.burstEvery/2)%p.burstEvery < p.burstLength {
			rate = p.burstPerSecond
		}
		at += interarrivalTime(random, rate)
		if at >= length {
			return
		}
		line := p.online
		line.AtMs, line.Kind = at.Milliseconds(), KindOnline
		line.User = fmt.Sprintf("user%02d", skewedIndex(random, p.users))
		line.Prefix = fmt.Sprintf("%s%02d", line.Prefix, skewedIndex(random, p.prefixes))
		line.PromptTokens = randomSize(random, line.PromptTokens)
		line.MaxTokens = randomSize(random, line.MaxTokens)
		t.Lines = append(t.Lines, line)
	}
}

func (p *profile) addCalls(t *Trace, random *rand.Rand, length time.Duration) {
	for at := interarrivalTime(random, p.callsPerSecond); at < length; at += interarrivalTime(random, p.callsPerSecond) {
		t.Lines = append(t.Lines, Line{
			AtMs: at.Milliseconds(), Kind: KindCall, Caller: p.callCaller,
			Service: t.Header.ServiceNames[0], Path: p.paths[random.IntN(len(p.paths))],
		})
	}
}

func (p *profile) addJobs(t *Trace, random *rand.Rand, length time.Duration) {
	total := p.itemsPerSecond * length.Seconds()
	for i := range p.jobs {
		items := total * (1 - p.firstJobShare) / float64(p.jobs-1)
		if i == 0 {
			items = total * p.firstJobShare
		}
		line := p.item
		line.AtMs = int64(float64(jobArrivalWindow.Milliseconds()) * float64(i) / float64(p.jobs))
		line.Kind, line.Items = KindJob, max(1, int(items))
		line.PromptTokens = randomSize(random, line.PromptTokens)
		line.MaxTokens = randomSize(random, line.MaxTokens)
		t.Lines = append(t.Lines, line)
	}
}

// interarrivalTime returns a random time to the next arrival of a Poisson process.
func interarrivalTime(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

// skewedIndex returns a random index below n; low indexes are much more frequent than high ones.
func skewedIndex(random *rand.Rand, n int) int {
	u := random.Float64()
	return int(u * u * float64(n))
}

// randomSize returns a random size between half and one and a half times the given one.
func randomSize(random *rand.Rand, size int) int {
	return size/2 + random.IntN(size+1)
}

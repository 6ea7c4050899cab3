package route

import (
	"math"
	"slices"
	"time"

	"github.com/sardinerock/sardinerock/prefix"
)

const (
	// reportDecay is the time constant with which a report loses its weight
	// against the fleet's mean: heartbeats come several times per second, so a
	// report that is two seconds old is hardly relevant.
	reportDecay = time.Second
	// slowStart is the time until a new backend server gets its full share: its
	// caches are empty, and its first measurements are good only because nothing
	// runs there yet.
	slowStart = 10 * time.Second
	// minSlowStart is the share of the slots that counts at the start.
	minSlowStart = 0.1
	// maxSlowness limits the factor by which a backend server can count as slower than the fleet.
	maxSlowness = 10
	// staleIntervals is the number of usual report intervals after which a backend
	// server without a report counts as full. One late report is normal; three
	// missing ones are the sign of a failed instance before its link times out.
	staleIntervals = 3
	// minReportInterval is the shortest interval that enters the mean, since a
	// change of state sends an additional report at once.
	minReportInterval = 100 * time.Millisecond
	// stalePenalty is added to the load of a stale backend server. If all are stale, the order stays the same.
	stalePenalty = 1.0
	// batchPenalty is added to the score of a backend server whose slots all run
	// batch work, and proportionally for fewer. With 0.5, online work goes there only
	// if it would use half of the slots of the other candidate.
	batchPenalty = 0.5
	// behindPenalty is added to the score of a side whose configuration is outdated:
	// a request would wait there until the side has updated it.
	behindPenalty = 0.25
)

// backend is the last report of a backend server with this entry's own counts.
type backend struct {
	report Backend
	// ownOnline is the number of this entry's online attempts in flight.
	ownOnline        int
	sentSinceReport  int
	endedSinceReport int
	// othersOnline is the number of other entries' online attempts at the last report.
	othersOnline         int
	ownBatch             int
	batchSentSinceReport int
	rampStart            time.Time
	// reportInterval is the mean time between reports, in seconds.
	reportInterval mean
	health         health
	prefixes       prefix.Holdings
}

func (b *backend) update(r Backend) {
	if !b.report.ReportedAt.IsZero() {
		b.reportInterval.add(max(r.ReportedAt.Sub(b.report.ReportedAt), minReportInterval).Seconds())
	}
	b.report = r
	b.resetCounts()
}

// resetCounts restarts the counts since the last report of the load.
func (b *backend) resetCounts() {
	b.othersOnline = max(0, b.report.OnlineRunning+b.report.OnlineWaiting-b.ownOnline)
	b.sentSinceReport, b.endedSinceReport, b.batchSentSinceReport = 0, 0, 0
}

// targets returns all that the backend server can serve.
func (b *backend) targets() []target {
	if b.report.Service != "" {
		return []target{{service: b.report.Service}}
	}
	all := make([]target, 0, len(b.report.Loaded))
	for _, m := range b.report.Loaded {
		all = append(all, target{model: m})
	}
	return all
}

func (b *backend) serves(want target) bool {
	if want.service != "" {
		return b.report.Service == want.service
	}
	return b.report.Service == "" && slices.Contains(b.report.Loaded, want.model)
}

func (b *backend) usable() bool { return b.report.Up && !b.report.Leaving }

func (b *backend) batchCredit() int { return max(0, b.report.BatchCredit-b.batchSentSinceReport) }

// onlineShare returns the share of the slots that online work uses; above 1 if work is queued.
func (b *backend) onlineShare() float64 { return float64(b.ownOnline+b.othersOnline) / b.slots() }

func (b *backend) slots() float64 { return float64(max(b.report.Slots, 1)) }

// load returns the share of the slots that online work would use with one more
// request. Up to 1 there is a free slot. During slow start fewer slots count, and a
// stale report adds a penalty.
func (b *backend) load(now time.Time, f *fleet) float64 {
	age := now.Sub(b.report.ReportedAt).Seconds()
	weight := math.Exp(-max(age, 0) / reportDecay.Seconds())
	others := weight*float64(b.othersOnline) + (1-weight)*f.meanLoad()*b.slots()
	load := (float64(b.ownOnline) + others + 1) / (b.slots() * b.slowStartFactor(now))
	if b.reportInterval.count > 0 && age > staleIntervals*b.reportInterval.value {
		load += stalePenalty
	}
	return load
}

// slowStartFactor returns the share of the slots that counts, from minSlowStart to 1.
func (b *backend) slowStartFactor(now time.Time) float64 {
	part := now.Sub(b.rampStart).Seconds() / slowStart.Seconds()
	return min(1, max(minSlowStart, part))
}

// score returns the value by which candidates are compared, lower is better: the load
// times the slowness, plus penalties for batch work and an outdated configuration.
func (b *backend) score(now time.Time, f *fleet) float64 {
	s := b.load(now, f) * f.slowness(b)
	s += batchPenalty * min(1, float64(b.report.BatchRunning)/b.slots())
	if b.report.ConfigVersion < f.newestConfig {
		s += behindPenalty
	}
	return s
}

// fleet holds totals and means over all usable backend servers.
type fleet struct {
	slots        float64
	othersOnline float64
	newestConfig int64
	tokenGap     mean
	ejected      []*backend
}

func (f *fleet) add(b *backend) {
	if !b.usable() {
		return
	}
	f.slots += b.slots()
	f.othersOnline += float64(b.othersOnline)
	f.newestConfig = max(f.newestConfig, b.report.ConfigVersion)
}

func (f *fleet) subtract(b *backend) {
	if !b.usable() {
		return
	}
	f.slots -= b.slots()
	f.othersOnline -= float64(b.othersOnline)
}

// meanLoad returns the mean share of a backend server's slots that other entries use.
func (f *fleet) meanLoad() float64 {
	if f.slots < 1 {
		return 0
	}
	return max(0, f.othersOnline) / f.slots
}

func (f *fleet) addSample(s Sample) {
	f.tokenGap.add(s.TokenGap.Seconds())
}

// slowness returns the factor by which a backend server is slower than the fleet,
// from 1 to maxSlowness, by this entry's samples and the side's report.
func (f *fleet) slowness(b *backend) float64 {
	slow := 1.0
	gap := max(b.health.tokenGap.value, b.report.TokenGap.Seconds())
	if f.tokenGap.value > 0 && gap > 0 {
		slow = max(slow, gap/f.tokenGap.value)
	}
	return min(slow, maxSlowness)
}

// meanSmoothing is the weight of a new sample, once there are 20.
const meanSmoothing = 0.05

// mean is an exponentially smoothed mean of positive values.
type mean struct {
	value float64
	count int
}

func (m *mean) add(x float64) {
	if x <= 0 {
		return
	}
	m.count++
	m.value += max(meanSmoothing, 1/float64(m.count)) * (x - m.value)
}

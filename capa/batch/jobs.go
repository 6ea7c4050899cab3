package batch

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/chkpt"
	"github.com/sardinerock/sardinerock/jobs"
)

// answerBytes and bodyBytes are the payload of an item, which no bookkeeping can save.
const (
	answerBytes = 200
	bodyBytes   = 300
)

// steadyRunner answers each item after a fixed time in a fixed number of slots.
type steadyRunner struct {
	slots   atomic.Int64
	running atomic.Int64
	done    atomic.Int64
	takes   time.Duration
}

// IdleSlots implements sardinerock.BatchRunner.
func (s *steadyRunner) IdleSlots() int { return int(s.slots.Load() - s.running.Load()) }

// RunItem implements sardinerock.BatchRunner.
func (s *steadyRunner) RunItem(ctx context.Context, _ *sardinerock.Request) (sardinerock.Result, string, error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return sardinerock.Result{}, "", &sardinerock.Refusal{Code: sardinerock.CodeCancelled, Message: "cancelled"}
	}
	s.done.Add(1)
	return sardinerock.Result{EngineResult: sardinerock.EngineResult{FinishReason: "stop", PromptTokens: 60, CompletionTokens: 40}},
		strings.Repeat("a", answerBytes), nil
}

// fixedConfig is a configuration that doesn't change.
type fixedConfig struct{ snapshot *sardinerock.ConfigSnapshot }

// Current implements sardinerock.ConfigSource.
func (f fixedConfig) Current() *sardinerock.ConfigSnapshot { return f.snapshot }

// jobOwner is one entry's batch work, with a log that counts.
type jobOwner struct {
	log     *sample.Log
	runner  *steadyRunner
	manager *jobs.Manager
	stop    func()
}

func startJobs(shards int, takes time.Duration, budget float64, checkpointEvery time.Duration) *jobOwner {
	o := &jobOwner{log: sample.NewLog(), runner: &steadyRunner{takes: takes}}
	o.manager = &jobs.Manager{
		Log: o.log, Runner: o.runner, EntryID: "entry-1", Shards: shards, AppendsPerSecond: budget,
		CheckpointEvery: checkpointEvery,
		Config:          fixedConfig{&sardinerock.ConfigSnapshot{Version: 1, Bundle: sample.Bundle(0, 10, 600)}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = o.manager.Run(ctx)
	}()
	o.stop = func() {
		cancel()
		<-done
	}
	return o
}

func (o *jobOwner) create(key string, items int) (*sardinerock.JobStatus, error) {
	spec := sardinerock.JobSpec{Caller: "team0001-app0", IdempotencyKey: key, Path: "/v1/chat/completions", Due: time.Now().Add(12 * time.Hour)}
	prefix := `{"model":"model-0","max_tokens":40,"messages":[{"role":"user","content":"`
	body := prefix + strings.Repeat("x", bodyBytes-len(prefix)-4) + `"}]}`
	return o.manager.Create(context.Background(), spec, func(yield func(sardinerock.JobItem) error) error {
		for i := range items {
			if err := yield(sardinerock.JobItem{CustomID: fmt.Sprintf("item-%06d", i), Body: []byte(body)}); err != nil {
				return err
			}
		}
		return nil
	})
}

func (o *jobOwner) await(id string, items int) error {
	deadline := time.Now().Add(time.Minute)
	for {
		s, err := o.manager.Get(context.Background(), "team0001-app0", id)
		if err != nil {
			return err
		}
		if s.Completed+s.Failed == items {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("job has %d of %d items after a minute", s.Completed, items)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Jobs gives what items, jobs and quiet shards cost in the log, in processor time and in memory.
func Jobs(r *meter.Report) error {
	var m jobPoints
	for _, items := range []int{2000, 10000, 50000} {
		if err := m.measureItems(items); err != nil {
			return err
		}
	}
	for _, items := range []int{2000, 10000, 50000} {
		if err := m.measureCheckpoint(items); err != nil {
			return err
		}
	}
	for _, n := range []int{50, 200, 800} {
		if err := m.measureSmallJobs(n); err != nil {
			return err
		}
	}
	for _, rate := range []int{2, 20, 200} {
		if err := m.measureRate(rate); err != nil {
			return err
		}
	}
	for _, shards := range []int{4, 16, 64} {
		m.measureQuiet(shards)
	}
	r.Slope("job handed in: bytes in the log beside bodies and custom ids", "B", "item", m.inBytes...)
	r.Slope("job handed in: appends", "appends", "item", m.inAppends...)
	r.Slope("job handed in: CPU", "us", "item", m.inCPU...)
	r.Slope("open items: memory", "B", "item", m.memory...)
	r.Slope("finished items whose results stay readable: memory", "B", "item", m.kept...)
	r.Slope("checkpoint of a shard, half of its items finished: bytes", "B", "item", m.checkpoint...)
	r.Slope("items run to their end, 10,000/s: bytes in the log beside answers", "B", "item", m.outBytes...)
	r.Slope("items run to their end, 10,000/s: appends", "appends", "item", m.outAppends...)
	r.Slope("items run to their end: CPU without the run itself", "us", "item", m.outCPU...)
	r.Slope("jobs of 10 items, from hand-in to end: appends", "appends", "job", m.jobAppends...)
	r.Slope("jobs of 10 items, from hand-in to end: bytes beside payload", "B", "job", m.jobBytes...)
	r.Slope("jobs of 10 items, from hand-in to end: CPU", "us", "job", m.jobCPU...)
	r.Values("appends a second of one shard, by items a second", "appends/s", m.rateAppends...)
	r.Slope("quiet shards that an entry owns: CPU", "us per s", "shard", m.quietCPU...)
	r.Slope("quiet shards that an entry owns: reads of the log", "reads per s", "shard", m.quietReads...)
	return nil
}

type jobPoints struct {
	kept, checkpoint                  []meter.Point
	inBytes, inAppends, inCPU, memory []meter.Point
	outBytes, outAppends, outCPU      []meter.Point
	jobAppends, jobBytes, jobCPU      []meter.Point
	rateAppends, quietCPU, quietReads []meter.Point
}

const customIDBytes = len("item-000000")

func (m *jobPoints) measureItems(items int) error {
	o := startJobs(1, 10*time.Millisecond, 5000, time.Hour)
	defer o.stop()
	// The first job claims the shard and warms up what is made once.
	first, err := o.create("first", 1)
	if err != nil {
		return err
	}
	o.runner.slots.Store(1)
	if err := o.await(first.ID, 1); err != nil {
		return err
	}
	o.runner.slots.Store(0)
	size := float64(items)
	before, used := meter.Memory(), meter.CPU()
	bytes, appends := o.log.Total()
	job, err := o.create("large", items)
	if err != nil {
		return err
	}
	inBytes, inAppends := o.log.Total()
	m.inCPU = append(m.inCPU, meter.At(size, float64((meter.CPU()-used).Microseconds())))
	m.inBytes = append(m.inBytes, meter.At(size, float64(inBytes-bytes-items*(bodyBytes+customIDBytes))))
	m.inAppends = append(m.inAppends, meter.At(size, float64(inAppends-appends)))
	// What the log holds is the platform's memory.
	m.memory = append(m.memory, meter.At(size, meter.Memory()-before-float64(inBytes-bytes)))

	used = meter.CPU()
	o.runner.slots.Store(100)
	if err := o.await(job.ID, items); err != nil {
		return err
	}
	outBytes, outAppends := o.log.Total()
	m.outCPU = append(m.outCPU, meter.At(size, float64((meter.CPU()-used).Microseconds())))
	m.outBytes = append(m.outBytes, meter.At(size, float64(outBytes-inBytes-items*answerBytes)))
	m.outAppends = append(m.outAppends, meter.At(size, float64(outAppends-inAppends)))
	m.kept = append(m.kept, meter.At(size, meter.Memory()-before-float64(outBytes-bytes)))
	runtime.KeepAlive(o)
	return nil
}

// measureCheckpoint stops half-way through a job and waits for the next checkpoint.
func (m *jobPoints) measureCheckpoint(items int) error {
	o := startJobs(1, 10*time.Millisecond, 5000, 3*time.Second)
	defer o.stop()
	job, err := o.create("large", items)
	if err != nil {
		return err
	}
	o.runner.slots.Store(100)
	for o.runner.done.Load() < int64(items/2) {
		time.Sleep(time.Millisecond)
	}
	o.runner.slots.Store(0)
	name := chkpt.StreamName("jobs-0")
	settled := time.Now().Add(2 * o.manager.CheckpointEvery)
	_, bytes := o.log.Last(name)
	for last := bytes; time.Now().Before(settled); time.Sleep(50 * time.Millisecond) {
		if _, now := o.log.Last(name); now != last {
			bytes, last = now-last, now
		}
	}
	if bytes == 0 {
		return fmt.Errorf("no checkpoint of %s was written", job.ID)
	}
	m.checkpoint = append(m.checkpoint, meter.At(float64(items), float64(bytes)))
	return nil
}

func (m *jobPoints) measureSmallJobs(n int) error {
	const items = 10
	o := startJobs(16, 10*time.Millisecond, 5000, time.Hour)
	defer o.stop()
	o.runner.slots.Store(100)
	ids := make([]string, n)
	used := meter.CPU()
	bytes, appends := o.log.Total()
	for i := range n {
		job, err := o.create(fmt.Sprint("job", i), items)
		if err != nil {
			return err
		}
		ids[i] = job.ID
	}
	for _, id := range ids {
		if err := o.await(id, items); err != nil {
			return err
		}
	}
	endBytes, endAppends := o.log.Total()
	size := float64(n)
	m.jobCPU = append(m.jobCPU, meter.At(size, float64((meter.CPU()-used).Microseconds())))
	m.jobAppends = append(m.jobAppends, meter.At(size, float64(endAppends-appends)))
	m.jobBytes = append(m.jobBytes, meter.At(size, float64(endBytes-bytes-n*items*(bodyBytes+customIDBytes+answerBytes))))
	return nil
}

func (m *jobPoints) measureRate(rate int) error {
	const window = 10 * time.Second
	o := startJobs(1, time.Second, 300, time.Hour)
	defer o.stop()
	if _, err := o.create("steady", rate*20); err != nil {
		return err
	}
	o.runner.slots.Store(int64(rate))
	time.Sleep(3 * time.Second)
	_, before := o.log.Total()
	time.Sleep(window)
	_, after := o.log.Total()
	m.rateAppends = append(m.rateAppends, meter.At(float64(rate), float64(after-before)/window.Seconds()))
	return nil
}

func (m *jobPoints) measureQuiet(shards int) {
	const window = 4 * time.Second
	o := startJobs(shards, time.Second, 5000, time.Hour)
	defer o.stop()
	time.Sleep(3 * time.Second)
	used, reads := meter.CPU(), o.log.Reads()
	time.Sleep(window)
	size := float64(shards)
	m.quietCPU = append(m.quietCPU, meter.At(size, float64((meter.CPU()-used).Microseconds())/window.Seconds()))
	m.quietReads = append(m.quietReads, meter.At(size, float64(o.log.Reads()-reads)/window.Seconds()))
}

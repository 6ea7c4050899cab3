package main

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock"
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
	log     *countingLog
	runner  *steadyRunner
	manager *jobs.Manager
	stop    func()
}

func startJobs(shards int, takes time.Duration, budget float64) *jobOwner {
	o := &jobOwner{log: newCountingLog(), runner: &steadyRunner{takes: takes}}
	o.manager = &jobs.Manager{
		Log: o.log, Runner: o.runner, EntryID: "entry-1", Shards: shards, AppendsPerSecond: budget,
		Config: fixedConfig{&sardinerock.ConfigSnapshot{Version: 1, Bundle: sampleBundle(0, 10, 600)}},
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

// measureJobs gives what items, jobs and quiet shards cost in the log, in processor time and in memory.
func measureJobs(r *report) error {
	var m jobPoints
	for _, items := range []int{2000, 10000, 50000} {
		if err := m.measureItems(items); err != nil {
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
	r.slope("job handed in: bytes in the log beside bodies and custom ids", "B", "item", m.inBytes...)
	r.slope("job handed in: appends", "appends", "item", m.inAppends...)
	r.slope("job handed in: CPU", "us", "item", m.inCPU...)
	r.slope("open items: memory", "B", "item", m.memory...)
	r.slope("items run to their end, 10,000/s: bytes in the log beside answers", "B", "item", m.outBytes...)
	r.slope("items run to their end, 10,000/s: appends", "appends", "item", m.outAppends...)
	r.slope("items run to their end: CPU without the run itself", "us", "item", m.outCPU...)
	r.slope("jobs of 10 items, from hand-in to end: appends", "appends", "job", m.jobAppends...)
	r.slope("jobs of 10 items, from hand-in to end: bytes beside payload", "B", "job", m.jobBytes...)
	r.slope("jobs of 10 items, from hand-in to end: CPU", "us", "job", m.jobCPU...)
	r.values("appends a second of one shard, by items a second", "appends/s", m.rateAppends...)
	r.slope("quiet shards that an entry owns: CPU", "us per s", "shard", m.quietCPU...)
	r.slope("quiet shards that an entry owns: reads of the log", "reads per s", "shard", m.quietReads...)
	return nil
}

type jobPoints struct {
	inBytes, inAppends, inCPU, memory []point
	outBytes, outAppends, outCPU      []point
	jobAppends, jobBytes, jobCPU      []point
	rateAppends, quietCPU, quietReads []point
}

const customIDBytes = len("item-000000")

func (m *jobPoints) measureItems(items int) error {
	o := startJobs(1, 10*time.Millisecond, 5000)
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
	before, used := memory(), cpu()
	bytes, appends := o.log.total()
	job, err := o.create("large", items)
	if err != nil {
		return err
	}
	inBytes, inAppends := o.log.total()
	m.inCPU = append(m.inCPU, point{size, float64((cpu() - used).Microseconds())})
	m.inBytes = append(m.inBytes, point{size, float64(inBytes - bytes - items*(bodyBytes+customIDBytes))})
	m.inAppends = append(m.inAppends, point{size, float64(inAppends - appends)})
	// What the log holds is the platform's memory.
	m.memory = append(m.memory, point{size, memory() - before - float64(inBytes-bytes)})

	used = cpu()
	o.runner.slots.Store(100)
	if err := o.await(job.ID, items); err != nil {
		return err
	}
	outBytes, outAppends := o.log.total()
	m.outCPU = append(m.outCPU, point{size, float64((cpu() - used).Microseconds())})
	m.outBytes = append(m.outBytes, point{size, float64(outBytes - inBytes - items*answerBytes)})
	m.outAppends = append(m.outAppends, point{size, float64(outAppends - inAppends)})
	runtime.KeepAlive(o)
	return nil
}

func (m *jobPoints) measureSmallJobs(n int) error {
	const items = 10
	o := startJobs(16, 10*time.Millisecond, 5000)
	defer o.stop()
	o.runner.slots.Store(100)
	ids := make([]string, n)
	used := cpu()
	bytes, appends := o.log.total()
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
	endBytes, endAppends := o.log.total()
	size := float64(n)
	m.jobCPU = append(m.jobCPU, point{size, float64((cpu() - used).Microseconds())})
	m.jobAppends = append(m.jobAppends, point{size, float64(endAppends - appends)})
	m.jobBytes = append(m.jobBytes, point{size, float64(endBytes - bytes - n*items*(bodyBytes+customIDBytes+answerBytes))})
	return nil
}

func (m *jobPoints) measureRate(rate int) error {
	const window = 10 * time.Second
	o := startJobs(1, time.Second, 300)
	defer o.stop()
	if _, err := o.create("steady", rate*20); err != nil {
		return err
	}
	o.runner.slots.Store(int64(rate))
	time.Sleep(3 * time.Second)
	_, before := o.log.total()
	time.Sleep(window)
	_, after := o.log.total()
	m.rateAppends = append(m.rateAppends, point{float64(rate), float64(after-before) / window.Seconds()})
	return nil
}

func (m *jobPoints) measureQuiet(shards int) {
	const window = 4 * time.Second
	o := startJobs(shards, time.Second, 5000)
	defer o.stop()
	time.Sleep(3 * time.Second)
	used, reads := cpu(), o.log.reads.Load()
	time.Sleep(window)
	size := float64(shards)
	m.quietCPU = append(m.quietCPU, point{size, float64((cpu() - used).Microseconds()) / window.Seconds()})
	m.quietReads = append(m.quietReads, point{size, float64(o.log.reads.Load()-reads) / window.Seconds()})
}

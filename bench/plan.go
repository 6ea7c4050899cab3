package bench

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sardinerock/sardinerock/fakes"
)

// planned is a line of the trace made ready, so that nothing is built while the clock runs.
type planned struct {
	Line
	at   time.Duration
	body []byte
	want string
}

// plan is the part of a trace that is played.
type plan struct {
	header Header
	length time.Duration
	online []planned
	calls  []planned
	jobs   []plannedJob
}

type plannedJob struct {
	Line
	at  time.Duration
	job *job
}

// makePlan makes the first part of a trace ready; of jobs it takes as large a part of the items.
func makePlan(t *Trace, length time.Duration) (*plan, error) {
	p := &plan{header: t.Header, length: length}
	part := float64(length) / float64(t.Header.Duration())
	for i, line := range t.Lines {
		at := time.Duration(line.AtMs) * time.Millisecond
		if at >= length {
			break
		}
		switch line.Kind {
		case KindCall:
			p.calls = append(p.calls, planned{Line: line, at: at})
		case KindOnline:
			next, err := p.request(line, at, i)
			if err != nil {
				return nil, err
			}
			p.online = append(p.online, next)
		case KindJob:
			line.Items = max(1, int(float64(line.Items)*part))
			j, err := p.makeJob(line, i)
			if err != nil {
				return nil, err
			}
			p.jobs = append(p.jobs, plannedJob{Line: line, at: at, job: j})
		}
	}
	return p, nil
}

func (p *plan) request(line Line, at time.Duration, number int) (planned, error) {
	body := line.body(p.header.Model, fmt.Sprintf("request-%d", number))
	body.Stream, body.User = true, line.User
	raw, err := json.Marshal(body)
	return planned{Line: line, at: at, body: raw, want: fakes.AnswerText(chatPath, raw)}, err
}

func (p *plan) makeJob(line Line, number int) (*job, error) {
	j := &job{key: fmt.Sprintf("job-%d", number)}
	for i := range line.Items {
		id := fmt.Sprintf("job%d-item%d", number, i)
		if err := j.add(id, line.body(p.header.Model, id)); err != nil {
			return nil, err
		}
	}
	return j, nil
}

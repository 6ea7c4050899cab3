package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/sardinerock/sardinerock/engine"
	"github.com/sardinerock/sardinerock/trace"
)

// ChatPath is the path of all requests that this package sends.
const ChatPath = "/v1/chat/completions"

// itemLine is one line of a job's input file.
type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// Job is a batch job with the expected results of its items.
type Job struct {
	// Key is the idempotency key.
	Key string
	// Lines is the content of the input file.
	Lines    bytes.Buffer
	expected map[string]string
}

// Add adds an item with the given custom id and request body.
func (j *Job) Add(id string, body trace.Body) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	line, err := json.Marshal(itemLine{CustomID: id, Method: "POST", URL: ChatPath, Body: raw})
	if err != nil {
		return err
	}
	j.Lines.Write(append(line, '\n'))
	if j.expected == nil {
		j.expected = make(map[string]string)
	}
	j.expected[id] = engine.AnswerText(ChatPath, raw)
	return nil
}

// Verdict counts the correct and the faulty results of a finished job.
type Verdict struct {
	Correct int
	// Lost counts the items without a correct result.
	Lost int
	// Duplicated counts the results beyond the first of an item.
	Duplicated int
	// Wrong counts results that differ from the item's complete expected answer. Lost includes them.
	Wrong int
}

// String implements fmt.Stringer.
func (v Verdict) String() string {
	return fmt.Sprintf("%d correct, %d lost (%d of them with a wrong answer), %d duplicated", v.Correct, v.Lost, v.Wrong, v.Duplicated)
}

// Check reads all results of a job and compares each with the expected answer of its item.
func (j *Job) Check(ctx context.Context, c *Client, b Batch) (Verdict, error) {
	var v Verdict
	seen := make(map[string]int)
	count := func(line Result) {
		seen[line.CustomID]++
		switch {
		case seen[line.CustomID] > 1:
			v.Duplicated++
		case line.Response.Body.text() == j.expected[line.CustomID]:
			v.Correct++
		default:
			v.Wrong++
		}
	}
	for _, file := range []string{b.OutputFileID, b.ErrorFileID} {
		if err := c.Results(ctx, file, count); err != nil {
			return v, err
		}
	}
	v.Lost = len(j.expected) - v.Correct
	return v, nil
}

package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/sardinerock/sardinerock/fakes"
)

const chatPath = "/v1/chat/completions"

// chatBody is a chat request as callers send it.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
	User      string        `json:"user,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// itemLine is one line of a job's input file.
type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// job is a batch job with what its items must bring.
type job struct {
	key   string
	lines bytes.Buffer
	want  map[string]string
}

// add adds an item.
func (j *job) add(id string, body chatBody) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	line, err := json.Marshal(itemLine{CustomID: id, Method: "POST", URL: chatPath, Body: raw})
	if err != nil {
		return err
	}
	j.lines.Write(append(line, '\n'))
	if j.want == nil {
		j.want = make(map[string]string)
	}
	j.want[id] = fakes.AnswerText(chatPath, raw)
	return nil
}

// verdict counts what is wrong with a finished job's results.
type verdict struct {
	right   int
	lost    int
	doubled int
	// wrong counts results that are there and are not the item's own whole answer; lost counts them too.
	wrong int
}

func (v verdict) String() string {
	return fmt.Sprintf("%d right, %d lost (of these %d with a wrong answer), %d doubled", v.right, v.lost, v.wrong, v.doubled)
}

// check reads all results of a job and compares each with the answer that its item must have.
func (j *job) check(ctx context.Context, c *client, b batch) (verdict, error) {
	var v verdict
	seen := make(map[string]int)
	take := func(line resultLine) {
		seen[line.CustomID]++
		switch {
		case seen[line.CustomID] > 1:
			v.doubled++
		case line.Response.Body.text() == j.want[line.CustomID]:
			v.right++
		default:
			v.wrong++
		}
	}
	for _, file := range []string{b.OutputFileID, b.ErrorFileID} {
		if err := c.results(ctx, file, take); err != nil {
			return v, err
		}
	}
	v.lost = len(j.want) - v.right
	return v, nil
}

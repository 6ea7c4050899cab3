package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/shard"
)

// itemHead is what dispatch has to know of an item's body.
type itemHead struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	// Adapter may also stand in the model's name, after a colon.
	Adapter string `json:"adapter"`
}

// bytesPerToken is the usual rough length of a token of text.
const bytesPerToken = 4

// request makes the request that runs one item. Its id is the same for every
// try by every owner, so that a backend server that sees two knows them for one.
func (p *part) request(j *shard.Job, index uint32, it *shard.Item) *sardinerock.Request {
	var head itemHead
	// A body that is no JSON goes on as it is: the fleet refuses it, and the refusal becomes the item's result.
	_ = json.Unmarshal(it.GetBody(), &head)
	model, adapter, found := strings.Cut(head.Model, ":")
	if !found {
		adapter = head.Adapter
	}
	r := &sardinerock.Request{
		ID: fmt.Sprintf("%s-%d", j.ID, index), Caller: j.Caller, Key: j.ID, Class: sardinerock.ClassBatch,
		Path: j.Path, Model: model, Adapter: adapter, Body: it.GetBody(), Idempotent: true,
		PromptTokens: len(it.GetBody()) / bytesPerToken, MaxTokens: max(head.MaxTokens, head.MaxCompletionTokens),
		Fingerprint: xxhash.Sum64(it.GetBody()), Deadline: p.m.Now().Add(p.m.ItemTimeout),
	}
	if p.m.Config != nil {
		if c := p.m.Config.Current(); c != nil {
			r.ConfigVersion = c.Version
			r.Version = grantedVersion(c.Bundle, j.Caller, model, adapter)
		}
	}
	return r
}

// grantedVersion returns the version that serves a caller's model, or nothing
// if none does. It is looked up for each try: a job may run on under a newer bundle.
func grantedVersion(b *sardinerock.Bundle, caller, model, adapter string) string {
	for _, c := range b.Callers {
		if c.Name != caller {
			continue
		}
		for _, g := range c.Grants {
			if g.Model == model && (adapter == "" || slices.Contains(g.Adapters, adapter)) {
				return g.Version
			}
		}
	}
	return ""
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const chatPath = "/v1/chat/completions"

// answerBody returns a successful item's answer as an online caller would have got it.
func answerBody(r *sardinerock.Request, result sardinerock.Result, text string) []byte {
	c := completion{
		ID: r.ID, Object: "text_completion", Model: r.Model,
		Choices: []choice{{FinishReason: result.FinishReason}},
		Usage: usage{
			PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens,
			TotalTokens: result.PromptTokens + result.CompletionTokens,
		},
	}
	if r.Path == chatPath {
		c.Object = "chat.completion"
		c.Choices[0].Message = &message{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	body, err := json.Marshal(c)
	if err != nil {
		return []byte(`{}`)
	}
	return body
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

func failedItem(index uint32, customID string, r *sardinerock.Refusal) *shard.ItemDone {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message: r.Message, Type: "batch_item_error", Code: string(r.Code), Param: r.Param,
	}})
	if err != nil {
		body = []byte(`{}`)
	}
	return &shard.ItemDone{Index: index, Status: uint32(r.Status()), CustomId: customID, Body: body}
}

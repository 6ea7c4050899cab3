package forms

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Message is the message of a chat answer, or the delta of one in a stream.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is the only choice of an answer, or a part of it in a stream event.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Answer is the answer to a completion request, or one event of its stream.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// NewAnswer returns the answer for a finished generation, in the format of the request's
// path: chat completion or text completion.
func NewAnswer(r *sardinerock.Request, e sardinerock.EngineResult, text string, now time.Time) Answer {
	c := Choice{FinishReason: &e.FinishReason}
	a := BlankAnswer(r, now)
	if r.Path == PathChat {
		a.Object = "chat.completion"
		c.Message = &Message{Role: "assistant", Content: text}
	} else {
		a.Object = "text_completion"
		c.Text = &text
	}
	a.Choices = []Choice{c}
	a.Usage = NewUsage(e)
	return a
}

// BlankAnswer returns an answer with the fields that all events of its stream share: id,
// creation time and model. The caller sets the others.
func BlankAnswer(r *sardinerock.Request, now time.Time) Answer {
	prefix := "cmpl-"
	if r.Path == PathChat {
		prefix = "chatcmpl-"
	}
	name := r.Model
	if r.Adapter != "" {
		name += ":" + r.Adapter
	}
	return Answer{ID: prefix + r.ID, Created: now.Unix(), Model: name}
}

// NewUsage returns the token counts of a finished generation.
func NewUsage(e sardinerock.EngineResult) *Usage {
	return &Usage{
		PromptTokens:     e.PromptTokens,
		CompletionTokens: e.CompletionTokens,
		TotalTokens:      e.PromptTokens + e.CompletionTokens,
	}
}

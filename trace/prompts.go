package trace

import (
	"fmt"
	"strings"

	"github.com/sardinerock/sardinerock"
)

// Body is the body of a chat request.
type Body struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
	User      string    `json:"user,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// filler returns a text of that many tokens, always the same for the same name.
func filler(name string, tokens int) string {
	size := tokens * sardinerock.BytesPerToken
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s %d. ", name, i)
	}
	return b.String()[:size]
}

// Request returns the body for a line. The id makes its prompt differ from all others of the trace.
func (l *Line) Request(model string, id string) Body {
	return Body{
		Model:     model,
		MaxTokens: l.MaxTokens,
		Messages: []Message{
			{Role: "system", Content: filler(l.Prefix, l.PrefixTokens)},
			{Role: "user", Content: filler(id, l.PromptTokens)},
		},
	}
}

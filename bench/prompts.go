package bench

import (
	"fmt"
	"strings"

	"github.com/sardinerock/sardinerock"
)

// text makes a text of so many tokens that is the same for the same name.
func text(name string, tokens int) string {
	size := tokens * sardinerock.BytesPerToken
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s %d. ", name, i)
	}
	return b.String()[:size]
}

// body makes the request of a line; number tells it from all others of the trace.
func (l *Line) body(model string, number string) chatBody {
	return chatBody{
		Model:     model,
		MaxTokens: l.MaxTokens,
		Messages: []chatMessage{
			{Role: "system", Content: text(l.Prefix, l.PrefixTokens)},
			{Role: "user", Content: text(number, l.PromptTokens)},
		},
	}
}

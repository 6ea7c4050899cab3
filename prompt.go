package sardinerock

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The sizes of a prompt's parts. A block is what engines cache as a unit: with
// shorter ones a common greeting would look like a shared prefix, with longer
// ones short system prompts would never match. Hashes beyond the last block
// would cost more on the wire than they save.
const (
	BytesPerToken   = 4
	BlockTokens     = 128
	MaxPrefixBlocks = 32
)

type promptBody struct {
	Messages []promptMessage `json:"messages"`
	Prompt   string          `json:"prompt"`
}

type promptMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type promptPart struct {
	Text string `json:"text"`
}

// Prompt returns the text of a request's messages or prompt, empty if it has neither.
func Prompt(body []byte) string {
	var b promptBody
	if err := json.Unmarshal(body, &b); err != nil {
		return ""
	}
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role + "\n" + m.text() + "\n")
	}
	return text.String()
}

// text joins the parts of a message; content that is no text counts as none.
func (m *promptMessage) text() string {
	var whole string
	if err := json.Unmarshal(m.Content, &whole); err == nil {
		return whole
	}
	var parts []promptPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return ""
	}
	for _, part := range parts {
		whole += part.Text
	}
	return whole
}

// PromptTokens estimates the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return len(prompt)/BytesPerToken + 1
}

// PrefixHashes returns hashes of the prompt's leading whole blocks, the
// shortest prefix first; each covers the model and all bytes before it.
func PrefixHashes(target LoadedModel, prompt string) []uint64 {
	const blockBytes = BlockTokens * BytesPerToken
	var hashes []uint64
	digest := xxhash.New()
	_, _ = digest.WriteString(target.Model + "\x00" + target.Version + "\x00" + target.Adapter)
	for len(hashes) < MaxPrefixBlocks && len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

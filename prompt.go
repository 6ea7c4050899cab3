package sardinerock

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The sizes of the blocks of a prompt. A block is the unit of prefix caching in
// engines. With shorter blocks a common greeting would count as a shared prefix; with
// longer ones short system prompts would never match. Sending the hashes of more than
// MaxPrefixBlocks blocks would cost more than they save. BytesPerToken is an estimate.
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

// Prompt returns the text of a request's messages or else of its prompt, empty if it has neither or isn't valid JSON.
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

// text returns the content of a message, or the joined texts of its parts. Content other than text is ignored.
func (m *promptMessage) text() string {
	var content string
	if err := json.Unmarshal(m.Content, &content); err == nil {
		return content
	}
	var parts []promptPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return ""
	}
	for _, part := range parts {
		content += part.Text
	}
	return content
}

// PromptTokens estimates the number of tokens of a prompt from its length, at least 1.
func PromptTokens(prompt string) int {
	return len(prompt)/BytesPerToken + 1
}

// PrefixHashes returns the hashes of the prefixes of the prompt that consist of whole
// blocks, the shortest first, at most MaxPrefixBlocks. Each hash covers the model, the
// version, the adapter and all bytes of the prefix.
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

package sardinerock

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// The sizes of a prompt's parts. A block is what engines cache as a unit;
// hashes beyond the last block would cost more on the wire than they save.
const (
	BytesPerToken   = 4
	BlockTokens     = 64
	MaxPrefixBlocks = 32
)

// Prompt returns the raw JSON of the request's messages or prompt, nil if it has neither.
func Prompt(body []byte) []byte {
	var parts struct {
		Messages json.RawMessage `json:"messages"`
		Prompt   json.RawMessage `json:"prompt"`
	}
	if err := json.Unmarshal(body, &parts); err != nil {
		return nil
	}
	if len(parts.Messages) > 0 {
		return bytes.TrimSpace(parts.Messages)
	}
	return bytes.TrimSpace(parts.Prompt)
}

// PromptTokens estimates the number of tokens of a prompt.
func PromptTokens(prompt []byte) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}

// PrefixHashes returns the hashes of the prompt's leading whole blocks, the
// shortest prefix first; each covers all bytes before it, and the model.
func PrefixHashes(target LoadedModel, prompt []byte) []uint64 {
	const blockBytes = BlockTokens * BytesPerToken
	blocks := min(len(prompt)/blockBytes, MaxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, 0, blocks)
	previous := xxhash.Sum64String(target.Model + "\x00" + target.Version + "\x00" + target.Adapter)
	digest := xxhash.New()
	for i := range blocks {
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest.Reset()
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[i*blockBytes : (i+1)*blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
	}
	return hashes
}

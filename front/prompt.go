package front

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual rule of thumb for text in English; the estimate
	// only weighs requests against each other, so a constant error does no harm.
	bytesPerToken = 4
	// blockBytes is about a hundred tokens: shorter and a shared greeting would
	// look like a shared prefix, longer and short system prompts would never match.
	blockBytes = 512
	// maxBlocks bounds the hashes that travel with a request; the first 16 KiB of a prompt tell apart all that routing needs to.
	maxBlocks = 32
)

// EstimateTokens estimates how many tokens a prompt has.
func EstimateTokens(prompt string) int {
	return len(prompt)/bytesPerToken + 1
}

// PrefixBlocks returns hashes of the prompt's leading whole blocks, the shortest
// prefix first; holder names the model, version and adapter whose cache it is.
func PrefixBlocks(holder, prompt string) []uint64 {
	var blocks []uint64
	d := xxhash.New()
	_, _ = d.WriteString(holder)
	for len(blocks) < maxBlocks && len(prompt) >= blockBytes {
		_, _ = d.WriteString(prompt[:blockBytes])
		prompt = prompt[blockBytes:]
		blocks = append(blocks, d.Sum64())
	}
	return blocks
}

// fingerprint is the same for every resend of the same content, whoever sends it.
func fingerprint(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		// A separator keeps ("ab", "c") apart from ("a", "bc").
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

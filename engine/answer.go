package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

// defaultMaxTokens bounds the answer if the request sets no bound.
const defaultMaxTokens = 16

type answerRequest struct {
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
}

// Answer returns the tokens of the answer to a request. They depend only on the
// path and the prompt and are the same at every engine, so a test can check that
// a caller got the complete answer to its own request, in order.
func Answer(path string, body []byte) []string {
	seed := xxhash.Sum64String(path) ^ xxhash.Sum64String(sardinerock.Prompt(body))
	tokens := make([]string, answerLength(body, seed))
	for i := range tokens {
		word := xxhash.Sum64String(strconv.FormatUint(seed, 16) + "." + strconv.Itoa(i))
		tokens[i] = " " + strconv.FormatUint(word>>44, 36)
	}
	return tokens
}

// AnswerText returns the tokens of Answer as one text.
func AnswerText(path string, body []byte) string {
	return strings.Join(Answer(path, body), "")
}

// answerLength returns a number of tokens between half of the request's bound and the bound.
func answerLength(body []byte, seed uint64) int {
	bound := maxTokens(body)
	return bound/2 + 1 + int(seed%uint64((bound+1)/2))
}

func maxTokens(body []byte) int {
	var r answerRequest
	// A body that isn't JSON sets no bound, so the default applies.
	_ = json.Unmarshal(body, &r)
	if n := max(r.MaxTokens, r.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultMaxTokens
}

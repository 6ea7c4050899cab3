package remote

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
)

// The headers of the engine protocol, and the status that an engine answers if it has not loaded the model.
const (
	headerAttempt        = "Sardinerock-Attempt"
	headerModel          = "Sardinerock-Model"
	headerVersion        = "Sardinerock-Model-Version"
	headerAdapter        = "Sardinerock-Adapter"
	headerResumeTokens   = "Sardinerock-Resume-Tokens"
	headerResumeText     = "Sardinerock-Resume-Text"
	statusModelNotLoaded = http.StatusFailedDependency
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// errStreamAborted reports a stream that ended without its closing event, "[DONE]".
var errStreamAborted = merry.New("engine: stream broke off before its end")

// Engine is a client of one model engine, which streams its answers as server-sent events.
type Engine struct {
	Sender
}

type chunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	Delta        delta  `json:"delta"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type cacheEventsReply struct {
	Events []sardinerock.CacheEvent `json:"events"`
}

// Generate implements sardinerock.Engine.
func (e *Engine) Generate(ctx context.Context, r *sardinerock.EngineRequest, emit func(sardinerock.Token) error) (sardinerock.EngineResult, error) {
	response, err := e.Send(ctx, http.MethodPost, r.Path, generateHeader(r), r.Body)
	if err != nil {
		return sardinerock.EngineResult{}, err
	}
	defer response.Body.Close()
	if err := checkStatus(response); err != nil {
		return sardinerock.EngineResult{}, withStatus(err, statusModelNotLoaded, sardinerock.ErrModelNotLoaded)
	}
	return readStream(response.Body, r.ResumeTokens, emit)
}

func generateHeader(r *sardinerock.EngineRequest) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(headerAttempt, r.Attempt)
	header.Set(headerModel, r.Model)
	header.Set(headerVersion, r.Version)
	if r.Adapter != "" {
		header.Set(headerAdapter, r.Adapter)
	}
	if r.ResumeTokens > 0 {
		header.Set(headerResumeTokens, strconv.Itoa(r.ResumeTokens))
		header.Set(headerResumeText, base64.URLEncoding.EncodeToString([]byte(r.ResumeText)))
	}
	return header
}

// readStream emits the tokens of a stream, numbered from next. It returns the
// finish reason and the token counts, which the last events carry.
func readStream(body io.Reader, next int, emit func(sardinerock.Token) error) (sardinerock.EngineResult, error) {
	var result sardinerock.EngineResult
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			// The transport reuses a connection only if the body was read to its end.
			_, _ = io.Copy(io.Discard, body)
			return result, nil
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return result, merry.Prepend(err, "engine: event")
		}
		if text := c.text(); text != "" {
			if err := emit(sardinerock.Token{Index: next, Text: text}); err != nil {
				return result, err
			}
			next++
		}
		c.updateResult(&result)
	}
	if err := lines.Err(); err != nil {
		return result, merry.Prepend(err, "engine: stream")
	}
	return result, errStreamAborted
}

// text returns the token of the event, of a chat or a completion; empty if it carries none.
func (c *chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

// updateResult copies the finish reason and the token counts, if the event carries them.
func (c *chunk) updateResult(result *sardinerock.EngineResult) {
	if len(c.Choices) > 0 && c.Choices[0].FinishReason != "" {
		result.FinishReason = c.Choices[0].FinishReason
	}
	if c.Usage != nil {
		result.PromptTokens = c.Usage.PromptTokens
		result.CompletionTokens = c.Usage.CompletionTokens
	}
}

// Report implements sardinerock.Engine.
func (e *Engine) Report(ctx context.Context) (sardinerock.EngineReport, error) {
	return call[sardinerock.EngineReport](ctx, &e.Sender, http.MethodGet, "/report", nil)
}

// CacheEvents implements sardinerock.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]sardinerock.CacheEvent, error) {
	path := "/cache-events?after=" + strconv.FormatInt(after, 10)
	answer, err := call[cacheEventsReply](ctx, &e.Sender, http.MethodGet, path, nil)
	return answer.Events, err
}

// Order implements sardinerock.Engine. It returns once the engine has executed the order; a load can take minutes.
func (e *Engine) Order(ctx context.Context, o sardinerock.EngineOrder) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	_, err = call[struct{}](ctx, &e.Sender, http.MethodPost, "/orders", body)
	return withStatus(err, http.StatusConflict, sardinerock.ErrFenced)
}

// State implements sardinerock.Engine.
func (e *Engine) State(ctx context.Context) (sardinerock.EngineState, error) {
	return call[sardinerock.EngineState](ctx, &e.Sender, http.MethodGet, "/state", nil)
}

package forms

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/sardinerock/sardinerock"
)

// The paths of the completion endpoints.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// Completion is the part of a completion request's body that this system uses. The engine
// gets the body unchanged.
type Completion struct {
	Model        string
	Prompt       string
	MaxTokens    int
	Stream       bool
	IncludeUsage bool
	User         string
	// MaxTokenField is the name of the body's field for MaxTokens, for error messages.
	MaxTokenField string
}

// completionBody holds the fields that this system parses.
type completionBody struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
		// IncludeObfuscation requests padding that hides the lengths of events from
		// eavesdroppers. The API makes padding optional, and none is sent.
		IncludeObfuscation bool `json:"include_obfuscation"`
	} `json:"stream_options"`
	User string `json:"user"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
	Name    string          `json:"name"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parsedFields are the fields of completionBody.
var parsedFields = map[string]bool{
	"model": true, "messages": true, "prompt": true, "max_tokens": true, "max_completion_tokens": true,
	"stream": true, "stream_options": true, "user": true,
}

// engineFields are fields that only the engine uses.
var engineFields = map[string]bool{
	"temperature": true, "top_p": true, "seed": true, "stop": true,
	"presence_penalty": true, "frequency_penalty": true,
}

// neutralValues are unsupported fields, with the values that are accepted because they have
// no effect.
var neutralValues = map[string][]string{
	"n": {"1"}, "best_of": {"1"}, "echo": {"false"}, "suffix": {`""`}, "logprobs": {"false"},
	"top_logprobs": {"0"}, "logit_bias": {"{}"}, "tools": {"[]"}, "tool_choice": {`"none"`, `"auto"`},
	"parallel_tool_calls": {"true", "false"}, "response_format": {`{"type":"text"}`}, "store": {"false"},
	"metadata": {"{}"}, "service_tier": {`"auto"`, `"default"`}, "modalities": {`["text"]`},
}

// ParseCompletion parses the body of a completion request for path. The error is a
// *sardinerock.Refusal that names the invalid field.
func ParseCompletion(path string, raw []byte) (*Completion, error) {
	if err := checkFields(raw); err != nil {
		return nil, err
	}
	var b completionBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, JSONFault(err)
	}
	c := &Completion{Model: b.Model, Stream: b.Stream, IncludeUsage: b.StreamOptions.IncludeUsage, User: b.User}
	if c.Model == "" {
		return nil, Refuse(sardinerock.CodeInvalidRequest, "model", "the field model is missing")
	}
	if err := c.readPrompt(path, &b); err != nil {
		return nil, err
	}
	return c, c.readMaxTokens(&b)
}

// checkFields rejects unsupported fields. If they were ignored, the caller would get an
// answer that looks right but isn't what it requested.
func checkFields(raw []byte) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return JSONFault(err)
	}
	for name, value := range fields {
		if parsedFields[name] || engineFields[name] || string(value) == "null" {
			continue
		}
		if !isNeutral(name, value) {
			return Refuse(sardinerock.CodeInvalidRequest, name, "the field %s is not supported with this value; leave it out", name)
		}
	}
	return nil
}

func isNeutral(name string, value json.RawMessage) bool {
	var compact bytes.Buffer
	if err := json.Compact(&compact, value); err != nil {
		return false
	}
	for _, v := range neutralValues[name] {
		if compact.String() == v {
			return true
		}
	}
	return false
}

// JSONFault returns the refusal for JSON that can't be parsed, with the byte offset or the
// field from err.
func JSONFault(err error) *sardinerock.Refusal {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return Refuse(sardinerock.CodeInvalidRequest, "", "malformed JSON at byte %d: %v", syntax.Offset, err)
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return Refuse(sardinerock.CodeInvalidRequest, typeError.Field, "the field %s can't be a %s", typeError.Field, typeError.Value)
	}
	return Refuse(sardinerock.CodeInvalidRequest, "", "malformed JSON: %v", err)
}

func (c *Completion) readPrompt(path string, b *completionBody) error {
	if path == PathCompletions {
		if len(b.Messages) > 0 {
			return Refuse(sardinerock.CodeInvalidRequest, "messages", "the field messages belongs to %s", PathChat)
		}
		if err := json.Unmarshal(b.Prompt, &c.Prompt); err != nil || c.Prompt == "" {
			return Refuse(sardinerock.CodeInvalidRequest, "prompt", "the field prompt must be one string that is not empty")
		}
		return nil
	}
	if len(b.Prompt) > 0 {
		return Refuse(sardinerock.CodeInvalidRequest, "prompt", "the field prompt belongs to %s", PathCompletions)
	}
	if len(b.Messages) == 0 {
		return Refuse(sardinerock.CodeInvalidRequest, "messages", "the field messages must hold at least one message")
	}
	var text strings.Builder
	for i, m := range b.Messages {
		content, err := m.text()
		if err != nil || m.Role == "" {
			return Refuse(sardinerock.CodeInvalidRequest, "messages", "message %d needs a role, and content that is text", i)
		}
		text.WriteString(m.Role + "\n" + content + "\n")
	}
	c.Prompt = text.String()
	return nil
}

var errNotText = errors.New("content is not text")

func (m *message) text() (string, error) {
	var s string
	if err := json.Unmarshal(m.Content, &s); err == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", err
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errNotText
		}
		s += p.Text
	}
	return s, nil
}

func (c *Completion) readMaxTokens(b *completionBody) error {
	c.MaxTokenField = "max_tokens"
	requested := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		c.MaxTokenField = "max_completion_tokens"
		requested = b.MaxCompletionTokens
	}
	if requested == nil {
		return nil
	}
	if *requested <= 0 {
		return Refuse(sardinerock.CodeInvalidRequest, c.MaxTokenField, "the field %s must be above 0", c.MaxTokenField)
	}
	c.MaxTokens = *requested
	return nil
}

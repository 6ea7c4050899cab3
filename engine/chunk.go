package engine

import (
	"encoding/json"
	"net/http"
	"strings"
)

// Chunk is one server-sent event of an answer, in the OpenAI-compatible format that model servers use.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *ChunkUsage   `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk; chats set Delta and completions set Text.
type ChunkChoice struct {
	Index        int         `json:"index"`
	Delta        *ChunkDelta `json:"delta,omitempty"`
	Text         string      `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

// ChunkDelta is the text that a chunk appends to the answer of a chat.
type ChunkDelta struct {
	Content string `json:"content"`
}

// ChunkUsage counts the tokens of the request; only the last chunk has it.
type ChunkUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chunkWriter writes the server-sent events of one stream.
type chunkWriter struct {
	w      http.ResponseWriter
	chat   bool
	stream *stream
	chunk  Chunk
}

func newChunkWriter(w http.ResponseWriter, path string, s *stream) *chunkWriter {
	c := &chunkWriter{w: w, stream: s, chat: strings.HasSuffix(path, "/chat/completions")}
	c.chunk = Chunk{ID: s.attempt, Object: "text_completion", Model: s.target.Model}
	if c.chat {
		c.chunk.Object = "chat.completion.chunk"
	}
	return c
}

func (c *chunkWriter) writeToken(text string) {
	choice := ChunkChoice{Text: text}
	if c.chat {
		choice = ChunkChoice{Delta: &ChunkDelta{Content: text}}
	}
	c.write(choice, nil)
}

func (c *chunkWriter) writeEnd() {
	reason := "stop"
	if len(c.stream.answer) >= c.stream.maxTokens {
		reason = "length"
	}
	usage := &ChunkUsage{PromptTokens: c.stream.promptTokens, CompletionTokens: len(c.stream.answer)}
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	choice := ChunkChoice{FinishReason: &reason}
	if c.chat {
		choice.Delta = &ChunkDelta{}
	}
	c.write(choice, usage)
	_, _ = c.w.Write([]byte("data: [DONE]\n\n"))
}

func (c *chunkWriter) write(choice ChunkChoice, usage *ChunkUsage) {
	c.chunk.Choices = []ChunkChoice{choice}
	c.chunk.Usage = usage
	line, err := json.Marshal(c.chunk)
	if err != nil {
		return
	}
	_, _ = c.w.Write([]byte("data: "))
	_, _ = c.w.Write(line)
	_, _ = c.w.Write([]byte("\n\n"))
	_ = http.NewResponseController(c.w).Flush()
}

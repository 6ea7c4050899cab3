package item

import (
	"encoding/json"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/shard"
)

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// ChatPath is the path of chat completions; results of all other paths are text completions.
const ChatPath = "/v1/chat/completions"

// ResponseBody returns the result body of a successful item, in the format of the response to an online request.
func ResponseBody(r *sardinerock.Request, result sardinerock.Result, text string) []byte {
	c := completion{
		ID: r.ID, Object: "text_completion", Model: r.Model,
		Choices: []choice{{FinishReason: result.FinishReason}},
		Usage: usage{
			PromptTokens: result.PromptTokens, CompletionTokens: result.CompletionTokens,
			TotalTokens: result.PromptTokens + result.CompletionTokens,
		},
	}
	if r.Path == ChatPath {
		c.Object = "chat.completion"
		c.Choices[0].Message = &message{Role: "assistant", Content: text}
	} else {
		c.Choices[0].Text = &text
	}
	body, err := json.Marshal(c)
	if err != nil {
		return []byte(`{}`)
	}
	return body
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
}

// FailureResult returns the result of a failed item, with the refusal as its body.
func FailureResult(index uint32, customID string, r *sardinerock.Refusal) *shard.ItemDone {
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message: r.Message, Type: "batch_item_error", Code: string(r.Code), Param: r.Param,
	}})
	if err != nil {
		body = []byte(`{}`)
	}
	return &shard.ItemDone{Index: index, Status: uint32(r.Status()), CustomId: customID, Body: body}
}

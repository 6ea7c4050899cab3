package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxLineBytes bounds one event or one result line.
const maxLineBytes = 16 << 20

// client calls one entry as one caller.
type client struct {
	url   string
	token string
	http  *http.Client
}

// answer is what one call brought.
type answer struct {
	status int
	// outcome is what the refusal says about whether the request ran.
	outcome string
	text    string
	// whole is set once the stream's closing event came.
	whole bool
	// first and last are the times from the call to the first and the last token.
	first time.Duration
	last  time.Duration
	// tokens counts the events that brought text.
	tokens int
}

// gap returns the mean time between the tokens.
func (a *answer) gap() time.Duration {
	if a.tokens < 2 {
		return 0
	}
	return (a.last - a.first) / time.Duration(a.tokens-1)
}

func newHTTPClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: connections, MaxIdleConnsPerHost: connections, DisableCompression: true,
	}}
}

func (c *client) send(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return nil, err
	}
	if header != nil {
		r.Header = header
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	return c.http.Do(r)
}

// stream asks for a streamed answer and reads it to its end.
func (c *client) stream(ctx context.Context, path string, body []byte) (answer, error) {
	var a answer
	start := time.Now()
	response, err := c.send(ctx, http.MethodPost, path, http.Header{"Content-Type": {"application/json"}}, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	a.status, a.outcome = response.StatusCode, response.Header.Get("Sardinerock-Outcome")
	if a.status != http.StatusOK {
		message, err := io.ReadAll(response.Body)
		a.text = string(message)
		return a, err
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	var text strings.Builder
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			a.whole = true
			break
		}
		piece, err := pieceOf(data)
		if err != nil {
			return a, err
		}
		if piece == "" {
			continue
		}
		a.tokens++
		a.last = time.Since(start)
		if a.first == 0 {
			a.first = a.last
		}
		text.WriteString(piece)
	}
	a.text = text.String()
	return a, lines.Err()
}

// reply is one server-sent event of an answer, or a result line's body.
type reply struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func (e *reply) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	choice := e.Choices[0]
	return choice.Delta.Content + choice.Message.Content + choice.Text
}

func pieceOf(data []byte) (string, error) {
	var e reply
	if err := json.Unmarshal(data, &e); err != nil {
		return "", merry.Prepend(err, "event")
	}
	if e.Error != nil {
		return "", merry.New("answer broke off: " + e.Error.Message)
	}
	return e.text(), nil
}

// batch is a job as the entry shows it.
type batch struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

func (b *batch) ended() bool {
	return b.Status == "completed" || b.Status == "cancelled" || b.Status == "expired"
}

type fileReply struct {
	ID string `json:"id"`
}

type batchRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// call sends a request and decodes the JSON answer.
func call[T any](ctx context.Context, c *client, method, path string, header http.Header, body io.Reader) (T, error) {
	var value T
	response, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return value, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return value, err
	}
	if response.StatusCode != http.StatusOK {
		return value, merry.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, raw)
	}
	return value, json.Unmarshal(raw, &value)
}

// submit uploads a job's lines and creates the job.
func (c *client) submit(ctx context.Context, key, endpoint string, lines []byte) (batch, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return batch{}, err
	}
	part, err := writer.CreateFormFile("file", key+".jsonl")
	if err != nil {
		return batch{}, err
	}
	if _, err := part.Write(lines); err != nil {
		return batch{}, err
	}
	if err := writer.Close(); err != nil {
		return batch{}, err
	}
	header := http.Header{"Content-Type": {writer.FormDataContentType()}}
	file, err := call[fileReply](ctx, c, http.MethodPost, "/v1/files", header, &form)
	if err != nil {
		return batch{}, merry.Prepend(err, "upload")
	}
	body, err := json.Marshal(batchRequest{InputFileID: file.ID, Endpoint: endpoint, CompletionWindow: "24h"})
	if err != nil {
		return batch{}, err
	}
	header = http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {key}}
	return call[batch](ctx, c, http.MethodPost, "/v1/batches", header, bytes.NewReader(body))
}

func (c *client) job(ctx context.Context, id string) (batch, error) {
	return call[batch](ctx, c, http.MethodGet, "/v1/batches/"+id, nil, nil)
}

// resultLine is one line of a job's output or error file.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response struct {
		StatusCode int   `json:"status_code"`
		Body       reply `json:"body"`
	} `json:"response"`
}

// results calls yield for each line of one of a job's files.
func (c *client) results(ctx context.Context, file string, yield func(resultLine)) error {
	if file == "" {
		return nil
	}
	response, err := c.send(ctx, http.MethodGet, "/v1/files/"+file+"/content", nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("results: status %d", response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var line resultLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return merry.Prepend(err, "result line")
		}
		yield(line)
	}
	return lines.Err()
}

package client

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

// maxLineBytes is the maximum length of a line of a stream or of a result file.
const maxLineBytes = 16 << 20

// Client calls one entry as one caller. It is safe for concurrent use.
type Client struct {
	URL   string
	Token string
	HTTP  *http.Client
}

// Answer is the result of one streamed call.
type Answer struct {
	Status int
	// Outcome is the value of the Sardinerock-Outcome header, which says whether a rejected request ran.
	Outcome string
	// Text is the generated text, or the response body if Status is not 200.
	Text string
	// Complete is set if the stream's closing event was received.
	Complete bool
	// FirstToken and LastToken are the times from the call to the first and to the last token.
	FirstToken time.Duration
	LastToken  time.Duration
	// Tokens counts the events that contain text.
	Tokens int
}

// TokenGap returns the mean time between tokens, or 0 for fewer than two tokens.
func (a *Answer) TokenGap() time.Duration {
	if a.Tokens < 2 {
		return 0
	}
	return (a.LastToken - a.FirstToken) / time.Duration(a.Tokens-1)
}

// NewHTTPClient returns an HTTP client that keeps up to the given number of idle connections.
func NewHTTPClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns: connections, MaxIdleConnsPerHost: connections, DisableCompression: true,
	}}
}

// Send sends a request with the caller's bearer token. The caller closes the response body.
func (c *Client) Send(ctx context.Context, method, path string, header http.Header, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.URL+path, body)
	if err != nil {
		return nil, err
	}
	if header != nil {
		r.Header = header
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	return c.HTTP.Do(r)
}

// Stream sends a request for a streamed answer and reads the answer to its end. A rejected
// request is no error: Status, Outcome and Text then describe it.
func (c *Client) Stream(ctx context.Context, path string, body []byte) (Answer, error) {
	var a Answer
	start := time.Now()
	response, err := c.Send(ctx, http.MethodPost, path, http.Header{"Content-Type": {"application/json"}}, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	a.Status, a.Outcome = response.StatusCode, response.Header.Get("Sardinerock-Outcome")
	if a.Status != http.StatusOK {
		message, err := io.ReadAll(response.Body)
		a.Text = string(message)
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
			a.Complete = true
			break
		}
		piece, err := eventText(data)
		if err != nil {
			return a, err
		}
		if piece == "" {
			continue
		}
		a.Tokens++
		a.LastToken = time.Since(start)
		if a.FirstToken == 0 {
			a.FirstToken = a.LastToken
		}
		text.WriteString(piece)
	}
	a.Text = text.String()
	return a, lines.Err()
}

// responseBody is the data of one server-sent event, or the body of a result line.
type responseBody struct {
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

func (e *responseBody) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	choice := e.Choices[0]
	return choice.Delta.Content + choice.Message.Content + choice.Text
}

func eventText(data []byte) (string, error) {
	var e responseBody
	if err := json.Unmarshal(data, &e); err != nil {
		return "", merry.Prepend(err, "event")
	}
	if e.Error != nil {
		return "", merry.New("answer aborted by the entry: " + e.Error.Message)
	}
	return e.text(), nil
}

// Batch is a job as the entry returns it.
type Batch struct {
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

// Ended reports whether no item of the job can run any more.
func (b *Batch) Ended() bool {
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

// call sends a request and decodes the JSON response. A status other than 200 is an error.
func call[T any](ctx context.Context, c *Client, method, path string, header http.Header, body io.Reader) (T, error) {
	var value T
	response, err := c.Send(ctx, method, path, header, body)
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

// Submit uploads a job's input file and creates the job with key as the idempotency key.
func (c *Client) Submit(ctx context.Context, key, endpoint string, lines []byte) (Batch, error) {
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return Batch{}, err
	}
	part, err := writer.CreateFormFile("file", key+".jsonl")
	if err != nil {
		return Batch{}, err
	}
	if _, err := part.Write(lines); err != nil {
		return Batch{}, err
	}
	if err := writer.Close(); err != nil {
		return Batch{}, err
	}
	header := http.Header{"Content-Type": {writer.FormDataContentType()}}
	file, err := call[fileReply](ctx, c, http.MethodPost, "/v1/files", header, &form)
	if err != nil {
		return Batch{}, merry.Prepend(err, "upload")
	}
	body, err := json.Marshal(batchRequest{InputFileID: file.ID, Endpoint: endpoint, CompletionWindow: "24h"})
	if err != nil {
		return Batch{}, err
	}
	header = http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {key}}
	return call[Batch](ctx, c, http.MethodPost, "/v1/batches", header, bytes.NewReader(body))
}

// Job returns the current state of a job.
func (c *Client) Job(ctx context.Context, id string) (Batch, error) {
	return call[Batch](ctx, c, http.MethodGet, "/v1/batches/"+id, nil, nil)
}

// Result is one line of a job's output or error file.
type Result struct {
	CustomID string `json:"custom_id"`
	Response struct {
		StatusCode int          `json:"status_code"`
		Body       responseBody `json:"body"`
	} `json:"response"`
}

// Results calls yield for each line of one of a job's result files. An empty file id means no lines.
func (c *Client) Results(ctx context.Context, file string, yield func(Result)) error {
	if file == "" {
		return nil
	}
	response, err := c.Send(ctx, http.MethodGet, "/v1/files/"+file+"/content", nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("results of file %s: status %d", file, response.StatusCode)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var line Result
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return merry.Prepend(err, "result line")
		}
		yield(line)
	}
	return lines.Err()
}

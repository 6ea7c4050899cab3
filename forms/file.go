package forms

import (
	"encoding/json"
	"strings"

	"github.com/sardinerock/sardinerock"
)

// The prefixes of the ids of a job's result files; the job's id follows. Result files aren't
// stored: they are generated when a caller reads them.
const (
	outputPrefix = "output-"
	errorPrefix  = "error-"
)

// File is the file object of the API.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// NewFile returns the file object for an uploaded file.
func NewFile(f sardinerock.FileInfo) File {
	return File{
		ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.CreatedAt.Unix(),
		Filename: f.Name, Purpose: "batch", Status: "processed",
	}
}

// NewResultFile returns the file object for the results of a job, or for its failed items.
func NewResultFile(info sardinerock.FileInfo, errorsOnly bool) File {
	o := NewFile(info)
	o.Purpose = "batch_output"
	if errorsOnly {
		o.Purpose = "batch_error"
	}
	return o
}

// ParseResultFileID returns the job of a result file and whether the file holds the failed
// items; found is false if the id is not that of a result file.
func ParseResultFileID(id string) (job string, errorsOnly, found bool) {
	if job, found := strings.CutPrefix(id, outputPrefix); found {
		return job, false, true
	}
	if job, found := strings.CutPrefix(id, errorPrefix); found {
		return job, true, true
	}
	return "", false, false
}

// ResultLine is one line of a result file.
type ResultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *ResultResponse `json:"response"`
	Error    json.RawMessage `json:"error"`
}

// ResultResponse is the response to one item.
type ResultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// NewResultLine returns the line for an item's result.
func NewResultLine(job string, r sardinerock.ItemResult) ResultLine {
	id := job + "/" + r.CustomID
	return ResultLine{
		ID: id, CustomID: r.CustomID, Error: json.RawMessage("null"),
		Response: &ResultResponse{StatusCode: r.Status, RequestID: id, Body: r.Body},
	}
}

package front

import (
	"encoding/json"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// The files of a job's results are named after the job; they are written as they are read.
const (
	outputPrefix = "output-"
	errorPrefix  = "error-"
)

// maxPurpose bounds the form field before the file.
const maxPurpose = 1 << 10

type fileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func newFileObject(f sardinerock.FileInfo) fileObject {
	return fileObject{
		ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.CreatedAt.Unix(),
		Filename: f.Name, Purpose: "batch", Status: "processed",
	}
}

// putFile takes an uploaded file as it streams in, without holding it whole.
func (s *Server) putFile(x *exchange) error {
	s.limitRead(x, s.limits.FileBody, s.limits.UploadTimeout)
	form, err := x.r.MultipartReader()
	if err != nil {
		return forms.Refuse(sardinerock.CodeInvalidRequest, "file", "send the file as multipart/form-data: %v", err)
	}
	part, err := filePart(form)
	if err != nil {
		return err
	}
	content := &faultReader{r: part}
	info, err := s.Files.Put(x.r.Context(), x.caller.Name, part.FileName(), content)
	if content.fault != nil {
		return forms.ReadFault(content.fault)
	}
	if err != nil {
		return err
	}
	s.unlimitRead(x)
	s.writeJSON(x, http.StatusOK, newFileObject(info))
	return nil
}

// faultReader remembers why reading failed, which stores may hide in errors of their own.
type faultReader struct {
	r     io.Reader
	fault error
}

// Read implements io.Reader.
func (f *faultReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		f.fault = err
	}
	return n, err
}

func filePart(form *multipart.Reader) (*multipart.Part, error) {
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return nil, forms.Refuse(sardinerock.CodeInvalidRequest, "file", "the form has no field file")
		}
		if err != nil {
			return nil, forms.ReadFault(err)
		}
		switch part.FormName() {
		case "file":
			return part, nil
		case "purpose":
			purpose, err := io.ReadAll(io.LimitReader(part, maxPurpose))
			if err != nil {
				return nil, forms.ReadFault(err)
			}
			if string(purpose) != "batch" {
				return nil, forms.Refuse(sardinerock.CodeInvalidRequest, "purpose", "the purpose must be batch")
			}
		default:
			return nil, forms.Refuse(sardinerock.CodeInvalidRequest, part.FormName(), "the form field %q is not supported", part.FormName())
		}
	}
}

func (s *Server) getFile(x *exchange) error {
	id := x.r.PathValue("id")
	if job, errorsOnly, found := resultFile(id); found {
		status, err := s.Jobs.Get(x.r.Context(), x.caller.Name, job)
		if err != nil {
			return err
		}
		info := sardinerock.FileInfo{ID: id, Name: id + ".jsonl", CreatedAt: status.CreatedAt}
		s.writeJSON(x, http.StatusOK, newResultObject(info, errorsOnly))
		return nil
	}
	content, info, err := s.Files.Open(x.r.Context(), x.caller.Name, id)
	if err != nil {
		return err
	}
	content.Close()
	s.writeJSON(x, http.StatusOK, newFileObject(info))
	return nil
}

func newResultObject(info sardinerock.FileInfo, errorsOnly bool) fileObject {
	o := newFileObject(info)
	o.Purpose = "batch_output"
	if errorsOnly {
		o.Purpose = "batch_error"
	}
	return o
}

// resultFile tells whether a file id names the results of a job, and which of them.
func resultFile(id string) (job string, errorsOnly, found bool) {
	if job, found := strings.CutPrefix(id, outputPrefix); found {
		return job, false, true
	}
	if job, found := strings.CutPrefix(id, errorPrefix); found {
		return job, true, true
	}
	return "", false, false
}

func (s *Server) getContent(x *exchange) error {
	id := x.r.PathValue("id")
	if job, errorsOnly, found := resultFile(id); found {
		return s.writeResults(x, job, errorsOnly)
	}
	content, _, err := s.Files.Open(x.r.Context(), x.caller.Name, id)
	if err != nil {
		return err
	}
	defer content.Close()
	x.w.Header().Set("Content-Type", "application/jsonl")
	if _, err := io.Copy(&pacedWriter{server: s, x: x}, content); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// pacedWriter gives each write its own deadline, so that a large file may take
// long as a whole but a caller that does not read is not waited for.
type pacedWriter struct {
	server *Server
	x      *exchange
}

// Write implements io.Writer.
func (p *pacedWriter) Write(b []byte) (int, error) {
	p.server.extendWrite(p.x)
	return p.x.w.Write(b)
}

type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    json.RawMessage `json:"error"`
}

type resultResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

func newResultLine(job string, r sardinerock.ItemResult) resultLine {
	id := job + "/" + r.CustomID
	return resultLine{
		ID: id, CustomID: r.CustomID, Error: json.RawMessage("null"),
		Response: &resultResponse{StatusCode: r.Status, RequestID: id, Body: r.Body},
	}
}

func (s *Server) writeResults(x *exchange, job string, errorsOnly bool) error {
	x.w.Header().Set("Content-Type", "application/jsonl")
	lines := json.NewEncoder(&pacedWriter{server: s, x: x})
	wrote := false
	err := s.Jobs.Results(x.r.Context(), x.caller.Name, job, func(r sardinerock.ItemResult) error {
		failed := r.Status >= http.StatusBadRequest
		if failed != errorsOnly {
			return nil
		}
		wrote = true
		return lines.Encode(newResultLine(job, r))
	})
	if err != nil && wrote {
		// Lines are out under status 200. Ending here would pass for the whole file,
		// so the connection is cut: the caller's client reports a broken transfer.
		panic(http.ErrAbortHandler)
	}
	return err
}

// unix returns the seconds of a time, or nil for none.
func unix(t time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	n := t.Unix()
	return &n
}

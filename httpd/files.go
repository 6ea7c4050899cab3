package httpd

import (
	"encoding/json"
	"errors"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/forms"
)

// maxPurposeBytes limits how much of the form field purpose is read.
const maxPurposeBytes = 1 << 10

// putFile streams an uploaded file to the file store without buffering all of it.
func (s *Server) putFile(x *calls.Exchange) error {
	x.LimitRead(s.limits.FileBody, s.limits.UploadTimeout)
	form, err := x.R.MultipartReader()
	if err != nil {
		return forms.Refuse(sardinerock.CodeInvalidRequest, "file", "send the file as multipart/form-data: %v", err)
	}
	part, err := filePart(form)
	if err != nil {
		return err
	}
	content := &errorReader{r: part}
	info, err := s.Files.Put(x.R.Context(), x.Caller.Name, part.FileName(), content)
	if content.err != nil {
		return forms.ReadFault(content.err)
	}
	if err != nil {
		return err
	}
	x.ClearReadDeadline()
	x.WriteJSON(http.StatusOK, forms.NewFile(info))
	return nil
}

// errorReader records the error of a failed read, because file stores may replace it by one of their own.
type errorReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (f *errorReader) Read(p []byte) (int, error) {
	n, err := f.r.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		f.err = err
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
			purpose, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
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

func (s *Server) getFile(x *calls.Exchange) error {
	id := x.R.PathValue("id")
	if job, errorsOnly, found := forms.ParseResultFileID(id); found {
		status, err := s.Jobs.Get(x.R.Context(), x.Caller.Name, job)
		if err != nil {
			return err
		}
		info := sardinerock.FileInfo{ID: id, Name: id + ".jsonl", CreatedAt: status.CreatedAt}
		x.WriteJSON(http.StatusOK, forms.NewResultFile(info, errorsOnly))
		return nil
	}
	content, info, err := s.Files.Open(x.R.Context(), x.Caller.Name, id)
	if err != nil {
		return err
	}
	content.Close()
	x.WriteJSON(http.StatusOK, forms.NewFile(info))
	return nil
}

func (s *Server) getContent(x *calls.Exchange) error {
	id := x.R.PathValue("id")
	if job, errorsOnly, found := forms.ParseResultFileID(id); found {
		return s.writeResults(x, job, errorsOnly)
	}
	content, info, err := s.Files.Open(x.R.Context(), x.Caller.Name, id)
	if err != nil {
		return err
	}
	defer content.Close()
	x.W.Header().Set("Content-Type", "application/jsonl")
	x.W.Header().Set("Content-Length", strconv.FormatInt(info.Bytes, 10))
	if _, err := io.Copy(&calls.DeadlineWriter{Exchange: x}, content); err != nil {
		sardinerock.AbortResponse(x.W, x.R)
	}
	return nil
}

func (s *Server) writeResults(x *calls.Exchange, job string, errorsOnly bool) error {
	x.W.Header().Set("Content-Type", "application/jsonl")
	lines := json.NewEncoder(&calls.DeadlineWriter{Exchange: x})
	written := false
	err := s.Jobs.Results(x.R.Context(), x.Caller.Name, job, func(r sardinerock.ItemResult) error {
		failed := r.Status >= http.StatusBadRequest
		if failed != errorsOnly {
			return nil
		}
		if !written {
			sardinerock.GuardUnframed(x.W, x.R)
			written = true
		}
		return lines.Encode(forms.NewResultLine(job, r))
	})
	if err != nil && written {
		// Status 200 and some lines are already sent. A normal end of the response would make
		// the file look complete, so the connection is aborted and the client sees an error.
		sardinerock.AbortResponse(x.W, x.R)
	}
	if written {
		sardinerock.EndGuarded(x.W, x.R)
	}
	return err
}

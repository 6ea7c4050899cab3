package front

import (
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// TimeoutHeader carries how long the caller waits for the whole answer, in milliseconds.
const TimeoutHeader = "Sardinerock-Timeout-Ms"

// NewRequest makes the request of one batch item, under the configuration in
// force and by the same rules as a caller's own call. The error is a *sardinerock.Refusal.
func (s *Server) NewRequest(caller, path string, body []byte) (*sardinerock.Request, error) {
	d := s.current()
	if d == nil {
		return nil, notReady()
	}
	found := d.callers[caller]
	if found == nil {
		return nil, forms.Refuse(sardinerock.CodeForbidden, "", "caller %q is not in the bundle in force", caller)
	}
	r, _, err := d.newRequest(found, path, body)
	return r, err
}

func (d *directory) newRequest(c *sardinerock.Caller, path string, body []byte) (*sardinerock.Request, *forms.Completion, error) {
	parsed, err := forms.ParseCompletion(path, body)
	if err != nil {
		return nil, nil, err
	}
	t, err := d.resolve(c, parsed.Model)
	if err != nil {
		return nil, nil, err
	}
	if parsed.MaxTokens > t.model.MaxTokens {
		return nil, nil, forms.Refuse(sardinerock.CodeInvalidRequest, parsed.MaxTokenField,
			"the field %s is over the model's bound of %d", parsed.MaxTokenField, t.model.MaxTokens)
	}
	if parsed.MaxTokens == 0 {
		parsed.MaxTokens = t.model.MaxTokens
	}
	loaded := sardinerock.LoadedModel{Model: t.model.Name, Version: t.version, Adapter: t.adapter}
	return &sardinerock.Request{
		ID:            rand.Text(),
		Caller:        c.Name,
		Key:           parsed.User,
		Path:          path,
		Model:         t.model.Name,
		Version:       t.version,
		Adapter:       t.adapter,
		Method:        http.MethodPost,
		Body:          body,
		Idempotent:    true,
		PromptTokens:  sardinerock.PromptTokens(parsed.Prompt),
		MaxTokens:     parsed.MaxTokens,
		Prefixes:      sardinerock.PrefixHashes(loaded, parsed.Prompt),
		Fingerprint:   fingerprint(loaded.Model, loaded.Version, loaded.Adapter, parsed.Prompt),
		ConfigVersion: d.snapshot.Version,
	}, parsed, nil
}

// fingerprint is the same for every resend of the same content, whoever sends it.
func fingerprint(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		// A separator keeps ("ab", "c") apart from ("a", "bc").
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// deadline reads until when the caller waits.
func (s *Server) deadline(r *http.Request) (time.Time, error) {
	wait := s.limits.DefaultDeadline
	if h := r.Header.Get(TimeoutHeader); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms < 1 || ms > s.limits.MaxDeadline.Milliseconds() {
			return time.Time{}, forms.Refuse(sardinerock.CodeInvalidRequest, TimeoutHeader,
				"the header %s must be a number of milliseconds from 1 to %d", TimeoutHeader, s.limits.MaxDeadline.Milliseconds())
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return s.Clock().Add(wait), nil
}

// readBody reads a whole body within the limits of online requests.
func (s *Server) readBody(x *exchange) ([]byte, error) {
	s.limitRead(x, s.limits.OnlineBody, s.limits.ReadTimeout)
	raw, err := readAll(x.r.Body)
	if err != nil {
		return nil, err
	}
	s.unlimitRead(x)
	return raw, nil
}

// limitRead bounds the body in bytes and time. Servers without deadlines of
// their own, as in tests, are left at the limit in bytes.
func (s *Server) limitRead(x *exchange, limit int64, timeout time.Duration) {
	_ = http.NewResponseController(x.w).SetReadDeadline(s.Clock().Add(timeout))
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
}

// unlimitRead takes the read deadline off once the body is in. It would
// otherwise run out during a long answer, look like a caller that hung up, and
// cancel the request.
func (s *Server) unlimitRead(x *exchange) {
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
}

// extendWrite gives the next write its time. A caller that does not read fills
// the connection's buffers; without a deadline the write would block for good
// and hold the request's slot at the engine.
func (s *Server) extendWrite(x *exchange) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(s.Clock().Add(s.limits.WriteTimeout))
}

// readAll reads a body that is bounded already.
func readAll(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, forms.ReadFault(err)
	}
	return raw, nil
}

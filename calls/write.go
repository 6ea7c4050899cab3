package calls

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// OutcomeHeader is the response header of refusals that says whether the request ran: notRun, ran or unknown.
const OutcomeHeader = "Sardinerock-Outcome"

// WriteRefusal sends a refusal as a JSON response, or as the last event if the header is already sent.
func (x *Exchange) WriteRefusal(f *sardinerock.Refusal) {
	if x.HeaderSent {
		// The status is already sent. Many clients would take a stream that just ends
		// for a complete answer, so the last event carries the error. A write error
		// means that the caller has disconnected and is ignored.
		_ = x.WriteEvent(forms.NewErrorBody(f))
		return
	}
	h := x.W.Header()
	h.Set(OutcomeHeader, f.Outcome.String())
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Code == sardinerock.CodeUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	x.WriteJSON(f.Status(), forms.NewErrorBody(f))
}

// WriteJSON writes a complete JSON response. It ignores write errors, which mean
// that the caller has disconnected.
func (x *Exchange) WriteJSON(status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(x.W, err.Error(), http.StatusInternalServerError)
		return
	}
	x.ExtendWriteDeadline()
	x.W.Header().Set("Content-Type", "application/json")
	x.W.WriteHeader(status)
	x.W.Write(append(raw, '\n'))
}

// WriteEvent writes body as JSON in one server-sent event; see WriteData for the error.
func (x *Exchange) WriteEvent(body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return x.WriteData(raw)
}

// WriteData writes one server-sent event. The error is a CodeCancelled refusal: the
// caller disconnected or did not read within WriteTimeout.
func (x *Exchange) WriteData(data []byte) error {
	x.ExtendWriteDeadline()
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := x.W.Write(event); err != nil {
		return callerDisconnected(err)
	}
	if err := http.NewResponseController(x.W).Flush(); err != nil {
		return callerDisconnected(err)
	}
	return nil
}

func callerDisconnected(err error) error {
	return &sardinerock.Refusal{
		Code:    sardinerock.CodeCancelled,
		Message: "the caller hung up or does not read: " + err.Error(),
		Outcome: sardinerock.OutcomeRan,
	}
}

// DeadlineWriter sets a deadline for each write: a large download may take long in
// total, but a caller that stops reading is disconnected.
type DeadlineWriter struct {
	Exchange *Exchange
}

// Write implements io.Writer.
func (w *DeadlineWriter) Write(b []byte) (int, error) {
	w.Exchange.ExtendWriteDeadline()
	return w.Exchange.W.Write(b)
}

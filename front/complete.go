package front

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// complete answers a generation, as a stream or whole.
func (s *Server) complete(x *exchange) error {
	until, err := s.deadline(x.r)
	if err != nil {
		return err
	}
	body, err := s.readBody(x)
	if err != nil {
		return err
	}
	r, parsed, err := x.directory.NewRequest(x.caller, x.r.URL.Path, body)
	if err != nil {
		return err
	}
	r.Deadline = until
	x.request = r.ID
	if parsed.Stream {
		return s.stream(x, r, parsed.IncludeUsage)
	}
	return s.whole(x, r)
}

func (s *Server) whole(x *exchange, r *sardinerock.Request) error {
	var text strings.Builder
	watch := s.watchFirstToken()
	result, err := s.Online.Serve(x.r.Context(), r, func(t sardinerock.Token) error {
		watch()
		text.WriteString(t.Text)
		return nil
	})
	if err != nil {
		return err
	}
	s.writeJSON(x, http.StatusOK, forms.NewAnswer(r, result.EngineResult, text.String(), s.Clock()))
	return nil
}

// watchFirstToken returns a function to be called for each token, of which the first is timed.
func (s *Server) watchFirstToken() func() {
	started := s.Clock()
	seen := false
	return func() {
		if seen {
			return
		}
		seen = true
		metrics.GetOrRegisterTimer("front.firstToken", s.Metrics).Update(s.Clock().Sub(started))
	}
}

// streamer writes one answer as server-sent events.
type streamer struct {
	server *Server
	x      *exchange
	blank  forms.Answer
	chat   bool
}

func (s *Server) stream(x *exchange, r *sardinerock.Request, includeUsage bool) error {
	st := &streamer{server: s, x: x, blank: forms.BlankAnswer(r, s.Clock()), chat: r.Path == forms.PathChat}
	st.blank.Object = "text_completion"
	if st.chat {
		st.blank.Object = "chat.completion.chunk"
	}
	watch := s.watchFirstToken()
	result, err := s.Online.Serve(x.r.Context(), r, func(t sardinerock.Token) error {
		watch()
		return st.token(t)
	})
	if err != nil {
		return err
	}
	return st.finish(result.EngineResult, includeUsage)
}

// token writes one piece. The header goes out with the first, so that a request
// refused before it still gets an ordinary error status.
func (st *streamer) token(t sardinerock.Token) error {
	return st.choice(forms.Choice{}, t.Text)
}

func (st *streamer) choice(c forms.Choice, text string) error {
	first := !st.x.answering
	if first {
		st.open()
	}
	if st.chat {
		c.Delta = &forms.Message{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	a := st.blank
	a.Choices = []forms.Choice{c}
	return st.server.writeEvent(st.x, a)
}

func (st *streamer) open() {
	h := st.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	st.x.answering = true
}

func (st *streamer) finish(e sardinerock.EngineResult, includeUsage bool) error {
	if err := st.choice(forms.Choice{FinishReason: &e.FinishReason}, ""); err != nil {
		return err
	}
	if includeUsage {
		a := st.blank
		a.Choices = []forms.Choice{}
		a.Usage = forms.NewUsage(e)
		if err := st.server.writeEvent(st.x, a); err != nil {
			return err
		}
	}
	return st.server.writeData(st.x, []byte("[DONE]"))
}

func (s *Server) writeEvent(x *exchange, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.writeData(x, raw)
}

// writeData writes one server-sent event; an error means that the caller hung up or does not read.
func (s *Server) writeData(x *exchange, data []byte) error {
	s.extendWrite(x)
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := x.w.Write(line); err != nil {
		return callerGone(err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) error {
	return &sardinerock.Refusal{
		Code:    sardinerock.CodeCancelled,
		Message: "the caller hung up or does not read: " + err.Error(),
		Outcome: sardinerock.OutcomeRan,
	}
}

func (s *Server) listModels(x *exchange) error {
	models := []forms.Model{}
	for _, g := range x.caller.Grants {
		models = append(models, forms.NewModel(g.Model, x.directory.Snapshot.Since))
		for _, a := range g.Adapters {
			models = append(models, forms.NewModel(g.Model+":"+a, x.directory.Snapshot.Since))
		}
	}
	s.writeJSON(x, http.StatusOK, forms.List[forms.Model]{Object: "list", Data: models})
	return nil
}

func (s *Server) getModel(x *exchange) error {
	name := x.r.PathValue("model")
	if _, err := x.directory.Resolve(x.caller, name); err != nil {
		return err
	}
	s.writeJSON(x, http.StatusOK, forms.NewModel(name, x.directory.Snapshot.Since))
	return nil
}

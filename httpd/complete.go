package httpd

import (
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/calls"
	"github.com/sardinerock/sardinerock/forms"
)

// complete handles a generation request, streamed or not.
func (s *Server) complete(x *calls.Exchange) error {
	deadline, err := x.Deadline()
	if err != nil {
		return err
	}
	body, err := x.ReadBody()
	if err != nil {
		return err
	}
	r, parsed, err := x.Directory.NewRequest(x.Caller, x.R.URL.Path, body)
	if err != nil {
		return err
	}
	r.Deadline = deadline
	x.Request = r.ID
	if parsed.Stream {
		return s.stream(x, r, parsed.IncludeUsage)
	}
	return s.respond(x, r)
}

func (s *Server) respond(x *calls.Exchange, r *sardinerock.Request) error {
	var text strings.Builder
	recordToken := s.timeFirstToken()
	result, err := s.Online.Serve(x.R.Context(), r, func(t sardinerock.Token) error {
		recordToken()
		text.WriteString(t.Text)
		return nil
	})
	if err != nil {
		return err
	}
	x.WriteJSON(http.StatusOK, forms.NewAnswer(r, result.EngineResult, text.String(), s.Clock()))
	return nil
}

// timeFirstToken returns a function to call for each token. Its first call updates the timer of the time to first token.
func (s *Server) timeFirstToken() func() {
	started := s.Clock()
	recorded := false
	return func() {
		if recorded {
			return
		}
		recorded = true
		metrics.GetOrRegisterTimer("front.firstToken", s.Metrics).Update(s.Clock().Sub(started))
	}
}

// streamer writes one response as server-sent events.
type streamer struct {
	server   *Server
	x        *calls.Exchange
	template forms.Answer
	chat     bool
}

func (s *Server) stream(x *calls.Exchange, r *sardinerock.Request, includeUsage bool) error {
	st := &streamer{server: s, x: x, template: forms.BlankAnswer(r, s.Clock()), chat: r.Path == forms.PathChat}
	st.template.Object = "text_completion"
	if st.chat {
		st.template.Object = "chat.completion.chunk"
	}
	recordToken := s.timeFirstToken()
	result, err := s.Online.Serve(x.R.Context(), r, func(t sardinerock.Token) error {
		recordToken()
		return st.writeToken(t)
	})
	if err != nil {
		return err
	}
	return st.finish(result.EngineResult, includeUsage)
}

// writeToken writes the text of one token. The response header is sent with the first
// token, so that a request rejected before it still gets an error status.
func (st *streamer) writeToken(t sardinerock.Token) error {
	return st.writeChoice(forms.Choice{}, t.Text)
}

func (st *streamer) writeChoice(c forms.Choice, text string) error {
	first := !st.x.HeaderSent
	if first {
		st.writeHeader()
	}
	if st.chat {
		c.Delta = &forms.Message{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	a := st.template
	a.Choices = []forms.Choice{c}
	return st.x.WriteEvent(a)
}

func (st *streamer) writeHeader() {
	h := st.x.W.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	st.x.HeaderSent = true
}

func (st *streamer) finish(e sardinerock.EngineResult, includeUsage bool) error {
	if err := st.writeChoice(forms.Choice{FinishReason: &e.FinishReason}, ""); err != nil {
		return err
	}
	if includeUsage {
		a := st.template
		a.Choices = []forms.Choice{}
		a.Usage = forms.NewUsage(e)
		if err := st.x.WriteEvent(a); err != nil {
			return err
		}
	}
	return st.x.WriteData([]byte("[DONE]"))
}

func (s *Server) listModels(x *calls.Exchange) error {
	models := []forms.Model{}
	for _, g := range x.Caller.Grants {
		models = append(models, forms.NewModel(g.Model, x.Directory.Snapshot.Since))
		for _, a := range g.Adapters {
			models = append(models, forms.NewModel(g.Model+":"+a, x.Directory.Snapshot.Since))
		}
	}
	x.WriteJSON(http.StatusOK, forms.List[forms.Model]{Object: "list", Data: models})
	return nil
}

func (s *Server) getModel(x *calls.Exchange) error {
	name := x.R.PathValue("model")
	if _, err := x.Directory.Resolve(x.Caller, name); err != nil {
		return err
	}
	x.WriteJSON(http.StatusOK, forms.NewModel(name, x.Directory.Snapshot.Since))
	return nil
}

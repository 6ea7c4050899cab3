package engine

import (
	"bytes"
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/params"
)

// The headers of the engine protocol.
const (
	HeaderAttempt      = "Sardinerock-Attempt"
	HeaderModel        = "Sardinerock-Model"
	HeaderVersion      = "Sardinerock-Model-Version"
	HeaderAdapter      = "Sardinerock-Adapter"
	HeaderResumeTokens = "Sardinerock-Resume-Tokens"
	// HeaderResumeText holds the text delivered so far, in URL-safe base64.
	HeaderResumeText = "Sardinerock-Resume-Text"
)

// StatusModelNotLoaded is the status of a request for a model or adapter that isn't loaded.
const StatusModelNotLoaded = http.StatusFailedDependency

// maxPromptBytes bounds the body of one request.
const maxPromptBytes = 16 << 20

// CacheEventsReply is the response to GET /cache-events.
type CacheEventsReply struct {
	Events []sardinerock.CacheEvent `json:"events"`
}

// KVBlocks lists the hashes of one prompt's cached blocks, the shortest prefix first.
type KVBlocks struct {
	Prefixes []uint64 `json:"prefixes"`
}

// ServeHTTP implements http.Handler.
func (e *Fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/knobs" && e.isSilent(r.RemoteAddr) {
		<-r.Context().Done()
		return
	}
	e.mux.Once.Do(func() { e.routes(&e.mux) })
	e.mux.ServeHTTP(w, r)
}

func (e *Fake) routes(mux *params.Router) {
	mux.HandleFunc("POST /v1/{rest...}", e.serveGenerate)
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /kv", e.serveExport)
	mux.HandleFunc("POST /kv", e.serveImport)
	mux.HandleFunc("/knobs", func(w http.ResponseWriter, r *http.Request) {
		params.Serve(w, r, &e.mu, &e.Knobs, e.applyKnobs)
	})
}

// isSilent reports whether the connection is unresponsive. It records the
// connection, so that raising Knobs.Silence affects it.
func (e *Fake) isSilent(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.initialize()
	if _, ok := e.connections[address]; !ok {
		e.connections[address] = false
	}
	return e.connections[address]
}

// applyKnobs applies changed knobs that are not read at each use: Silence and CacheBlocks. The caller holds e.mu.
func (e *Fake) applyKnobs() {
	if e.Knobs.Silence > e.appliedSilence {
		for address := range e.connections {
			e.connections[address] = true
		}
	}
	e.appliedSilence = e.Knobs.Silence
	if e.cache == nil && e.Knobs.CacheBlocks > 0 {
		e.newCache()
	}
}

func (e *Fake) serveGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPromptBytes))
	if err != nil {
		params.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	s, status, message := e.newStream(r, body)
	if status != http.StatusOK {
		params.Fail(w, status, message)
		return
	}
	e.crashIfMarked(body)
	e.submit(s)
	defer e.cancel(s)
	e.write(w, r, s)
}

func (e *Fake) crashIfMarked(body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if marker := e.Knobs.CrashMarker; marker != "" && bytes.Contains(body, []byte(marker)) {
		time.AfterFunc(params.Milliseconds(e.Knobs.CrashMs), e.Crash)
	}
}

// newStream validates a request. For a status other than 200, the request is
// rejected with that status and the returned message.
func (e *Fake) newStream(r *http.Request, body []byte) (*stream, int, string) {
	prompt := sardinerock.Prompt(body)
	if len(prompt) == 0 {
		return nil, http.StatusBadRequest, "the body has neither messages nor a prompt"
	}
	s := &stream{
		attempt: r.Header.Get(HeaderAttempt),
		answer:  Answer(r.URL.Path, body),
		target: sardinerock.LoadedModel{
			Model:   r.Header.Get(HeaderModel),
			Version: r.Header.Get(HeaderVersion),
			Adapter: r.Header.Get(HeaderAdapter),
		},
	}
	if resume := r.Header.Get(HeaderResumeTokens); resume != "" {
		text, err := base64.URLEncoding.DecodeString(r.Header.Get(HeaderResumeText))
		n, numberErr := strconv.Atoi(resume)
		if err != nil || numberErr != nil || n < 0 || n >= len(s.answer) {
			return nil, http.StatusBadRequest, "resumption: not a place within the answer"
		}
		if string(text) != strings.Join(s.answer[:n], "") {
			return nil, http.StatusUnprocessableEntity, "resumption: the text so far is not this answer's"
		}
		s.next = n
	}
	s.maxTokens = maxTokens(body)
	s.promptTokens = sardinerock.PromptTokens(prompt)
	s.blocks = sardinerock.PrefixHashes(s.target, prompt)
	s.tokens = make(chan int, len(s.answer))

	e.mu.Lock()
	defer e.mu.Unlock()
	// A request without the header comes from a test that calls the engine directly, not through a side.
	if s.target.Model != "" && !e.isLoaded(s.target) {
		return nil, StatusModelNotLoaded, sardinerock.ErrModelNotLoaded.Error()
	}
	return s, http.StatusOK, ""
}

// write streams the tokens as server-sent events until the answer ends, the engine crashes or the client disconnects.
func (e *Fake) write(w http.ResponseWriter, r *http.Request, s *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := newChunkWriter(w, r.URL.Path, s)
	for {
		select {
		case <-r.Context().Done():
			return
		case index, ok := <-s.tokens:
			if e.isSilent(r.RemoteAddr) {
				<-r.Context().Done()
				return
			}
			if !ok {
				out.writeEnd()
				return
			}
			out.writeToken(s.answer[index])
		}
	}
}

func (e *Fake) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.sampleReport(time.Now())
	report := e.visibleReport
	e.mu.Unlock()
	params.Reply(w, http.StatusOK, report)
}

func (e *Fake) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		params.Fail(w, http.StatusBadRequest, "after: "+err.Error())
		return
	}
	e.mu.Lock()
	events := e.eventsAfter(after)
	e.mu.Unlock()
	params.Reply(w, http.StatusOK, CacheEventsReply{Events: events})
}

func (e *Fake) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.orders.state(e.Knobs.ChecksFence)
	e.mu.Unlock()
	params.Reply(w, http.StatusOK, state)
}

// serveExport returns the block hashes of a running stream's prompt.
func (e *Fake) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		if s.attempt == r.FormValue("attempt") {
			params.Reply(w, http.StatusOK, KVBlocks{Prefixes: s.blocks})
			return
		}
	}
	params.Fail(w, http.StatusNotFound, "kv: no running stream of that attempt")
}

// serveImport adds blocks exported by another engine to the cache, so that a
// stream that moves here needs no prefill of its prompt.
func (e *Fake) serveImport(w http.ResponseWriter, r *http.Request) {
	var blocks KVBlocks
	if err := params.Decode(r.Body, &blocks); err != nil {
		params.Fail(w, http.StatusBadRequest, "kv: "+err.Error())
		return
	}
	e.mu.Lock()
	e.storeBlocks(blocks.Prefixes)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It serves the calls that entries use, loses nothing
// and answers with the state that it holds.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	changed chan struct{}
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record of the operator or of a worker, and returns once it is stored.
func (s *store) put(name, key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.append(name+"/0", []record{{key, raw}}, -1)
}

func (s *store) append(name string, records []record, at int64) (first, end int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first = int64(len(t.records))
	if at >= 0 && at != first {
		return first, first, false
	}
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
	return first, int64(len(t.records)), true
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic") + "/" + q.Get("part")
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/log-append":
		s.serveAppend(w, r, name)
	case "GET /v1/log-read":
		s.serveRead(w, r, name)
	case "GET /v1/log-newest":
		s.serveNewest(w, q.Get("after"), name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	if q.Get("topic") == "keyed.op" || q.Get("topic") == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		content := body[4 : 4+size]
		body = body[4+size:]
		records = append(records, record{string(content[1 : 1+int(content[0])]), content[1+int(content[0]):]})
	}
	at := int64(-1)
	if text := q.Get("at"); text != "" {
		at, err = strconv.ParseInt(text, 10, 64)
		check(err)
	}
	first, end, ok := s.append(name, records, at)
	if !ok {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end_offset": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := 1024
	if text := q.Get("max_kb"); text != "" {
		limit, _ = strconv.Atoi(text)
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(name)
		end, changed := int64(len(t.records)), t.changed
		var records []record
		if from < end {
			records = t.records[from:end:end]
		}
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			writePage(w, end, records, limit<<10)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writePage(w http.ResponseWriter, end int64, records []record, limit int) {
	page := binary.BigEndian.AppendUint64(nil, uint64(end))
	page = binary.BigEndian.AppendUint64(page, 0)
	for n, r := range records {
		if size := len(r.key) + len(r.value); n > 0 && len(page)+size > limit {
			break
		}
		page = binary.BigEndian.AppendUint32(page, uint32(1+len(r.key)+len(r.value)))
		page = append(page, byte(len(r.key)))
		page = append(append(page, r.key...), r.value...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(page)))
	_, _ = w.Write(page)
}

func (s *store) serveNewest(w http.ResponseWriter, after, name string) {
	const pageSize = 500
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	newest := map[string]item{}
	for n, r := range t.records {
		if len(r.value) == 0 {
			delete(newest, r.key)
		} else {
			newest[r.key] = item{r.key, base64.StdEncoding.EncodeToString(r.value), n}
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	items := []item{}
	for key, i := range newest {
		if strings.Compare(key, after) > 0 {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

package share

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// topicPath is the URL path at which entries serve topics to each other.
	topicPath = "/sardinerock/topic"
	// startWait is how long a request waits for this entry's own first read of the topic.
	startWait = 500 * time.Millisecond
	// startPoll is the interval of the checks whether that read is complete.
	startPoll = 10 * time.Millisecond
	// maxWait is the longest time that a read may wait for records.
	maxWait = 30 * time.Second
)

// The query parameters of a read. A read without paramFrom is for the newest record of
// each key; paramWait is in milliseconds.
const (
	paramTopic = "topic"
	paramFrom  = "from"
	paramWait  = "wait"
)

// reply is the body of an answer: a page of a topic.
type reply struct {
	End     int64    `cbor:"1,keyasint"`
	Records []record `cbor:"2,keyasint,omitempty"`
}

type record struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
	Key    string
	Value  []byte
}

// Server answers the reads of other entries.
type Server struct {
	// Feeds holds the feed of each shared topic.
	Feeds  map[string]*Feed
	Events *event.Logger

	mu sync.Mutex
	// compressed holds the last page of newest records of each topic.
	compressed map[string]compressedPage
}

// compressedPage is the encoded page of newest records up to end. It is compressed once,
// since every starting entry requests it.
type compressedPage struct {
	end int64
	raw []byte
}

// Handler returns a handler that answers reads of topics and passes all other requests to next.
func (s *Server) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == topicPath {
			s.serve(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get(paramTopic)
	feed := s.Feeds[topic]
	if feed == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var page sardinerock.StorePage
	from, wait, err := parseRange(query)
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case from < 0:
		page, err = s.newest(r.Context(), feed)
	default:
		page, err = feed.Read(r.Context(), from, wait)
	}
	switch {
	case errors.Is(err, sardinerock.ErrStoreGap):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		s.write(w, topic, from < 0, &page)
	}
}

// parseRange returns the offset from which on to read and how long the read may wait. The
// offset is -1 for a read of the newest records, which has no offset parameter.
func parseRange(query url.Values) (from int64, wait time.Duration, err error) {
	if !query.Has(paramFrom) {
		return -1, 0, nil
	}
	from, err = strconv.ParseInt(query.Get(paramFrom), 10, 64)
	if err != nil || from < 0 {
		return 0, 0, errors.New("share: invalid offset, expected a number from 0")
	}
	millis, err := strconv.ParseInt(query.Get(paramWait), 10, 64)
	if err != nil || millis < 0 {
		return 0, 0, errors.New("share: invalid wait, expected milliseconds from 0")
	}
	return from, min(time.Duration(millis)*time.Millisecond, maxWait), nil
}

// newest returns the newest records and waits up to startWait for this entry's own first
// read: if all entries start at once, those that read for others are not ready earlier.
func (s *Server) newest(ctx context.Context, feed *Feed) (sardinerock.StorePage, error) {
	for begin := time.Now(); ; {
		page, err := feed.Newest()
		if err == nil || time.Since(begin) > startWait || ctx.Err() != nil {
			return page, err
		}
		time.Sleep(startPoll)
	}
}

func (s *Server) write(w http.ResponseWriter, topic string, whole bool, page *sardinerock.StorePage) {
	raw, err := s.pack(topic, whole, page)
	if err != nil {
		s.Events.Warn(event.PeerAsked).Str("topic", topic).Err(err).Msg("encoding a topic for a peer failed; answered with status 500")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The age is in a header, since it changes while the compressed page stays the same.
	w.Header().Set(headerAge, strconv.FormatInt(int64(page.Age), 10))
	if page.StoreRecovered {
		w.Header().Set(headerStoreRecovered, "1")
	}
	// A write error means that the peer has disconnected; there is nothing to do.
	_, _ = w.Write(raw)
}

const (
	// headerAge holds the age of a reply, in nanoseconds.
	headerAge = "Sardinerock-Age"
	// headerStoreRecovered is set to 1 within recoveryNotice after the store has recovered.
	headerStoreRecovered = "Sardinerock-Store-Back"
)

// pack encodes a page. A page of the newest records is also compressed and cached until the
// end of the topic changes.
func (s *Server) pack(topic string, whole bool, page *sardinerock.StorePage) ([]byte, error) {
	if !whole {
		return encode(page)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.compressed[topic]; ok && last.end == page.End {
		return last.raw, nil
	}
	plain, err := encode(page)
	if err != nil {
		return nil, err
	}
	raw, err := compress(plain)
	if err != nil {
		return nil, err
	}
	if s.compressed == nil {
		s.compressed = map[string]compressedPage{}
	}
	s.compressed[topic] = compressedPage{page.End, raw}
	return raw, nil
}

func encode(page *sardinerock.StorePage) ([]byte, error) {
	body := reply{End: page.End, Records: make([]record, len(page.Records))}
	for n, r := range page.Records {
		body.Records[n] = record{Offset: r.Offset, Key: r.Key, Value: r.Value}
	}
	return cbor.Marshal(body)
}

func compress(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(plain); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

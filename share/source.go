package share

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

const (
	// replySlack is the network round trip, added to the time that a read may wait.
	replySlack = 500 * time.Millisecond
	// newestTimeout bounds a read of the newest record of each key.
	newestTimeout = 1200 * time.Millisecond
	// fallbackWait is the wait of a read of the store after a reader has failed. It isn't 0, which is for reads of large pages with
	// longer timeouts.
	fallbackWait = time.Millisecond
	// cooldown is how long a reader is skipped after a failure.
	cooldown = 5 * time.Second
	// maxReplyBytes bounds a reply after decompression.
	maxReplyBytes = 64 << 20
)

// errNoReader means that there is no reader, so that this entry reads the store itself.
var errNoReader = errors.New("share: no available reader")

// Source is a store that reads topics at a reader, an entry that follows the topics for
// others. It falls back to the platform's store if the reader fails or its reply is too old.
type Source struct {
	sardinerock.Store
	// Readers returns the addresses of this entry's readers in the order in which to try
	// them; none if this entry reads the store itself.
	Readers func() []string
	// Serving reports whether this entry is a reader for others. Its own reads then wait half
	// the requested time, since what others read here is up to two waits old.
	Serving func() bool
	// MaxAge is the age above which a reply is rejected.
	MaxAge  time.Duration
	Client  *http.Client
	Events  *event.Logger
	Metrics metrics.Registry

	mu sync.Mutex
	// cooldowns holds the time until which each failed reader is skipped, by address.
	cooldowns map[string]time.Time
}

// Read implements sardinerock.Store. If a reader fails, the store is read without waiting for
// records, since some of the wait has passed already.
func (s *Source) Read(ctx context.Context, topic string, from int64, wait time.Duration) (sardinerock.StorePage, error) {
	query := url.Values{
		paramTopic: {topic}, paramFrom: {strconv.FormatInt(from, 10)}, paramWait: {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	page, err := s.query(ctx, query, wait+replySlack)
	switch {
	case err == nil, errors.Is(err, sardinerock.ErrStoreGap):
		return page, err
	case errors.Is(err, errNoReader) && s.Serving():
		return s.Store.Read(ctx, topic, from, wait/2)
	case errors.Is(err, errNoReader):
		return s.Store.Read(ctx, topic, from, wait)
	}
	return s.Store.Read(ctx, topic, from, fallbackWait)
}

// CloseIdle implements sardinerock.IdleCloser, for the connections to the store and to readers.
func (s *Source) CloseIdle() {
	s.Client.CloseIdleConnections()
	if c, ok := s.Store.(sardinerock.IdleCloser); ok {
		c.CloseIdle()
	}
}

// Newest implements sardinerock.Store. A reader sends all records in one page, so that only
// the first page is read there.
func (s *Source) Newest(ctx context.Context, topic, after string) (sardinerock.StorePage, error) {
	if after == "" {
		if page, err := s.Load(ctx, topic); err == nil {
			return page, nil
		}
	}
	return s.Store.Newest(ctx, topic, after)
}

// Load returns the newest record of each key from a reader; it never reads the store itself.
func (s *Source) Load(ctx context.Context, topic string) (sardinerock.StorePage, error) {
	return s.query(ctx, url.Values{paramTopic: {topic}}, newestTimeout)
}

// query reads at the first reader that isn't in cooldown. A failure starts its cooldown.
func (s *Source) query(ctx context.Context, query url.Values, limit time.Duration) (sardinerock.StorePage, error) {
	reader, ok := s.nextReader()
	if !ok {
		return sardinerock.StorePage{}, errNoReader
	}
	readerCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	page, err := s.fetch(readerCtx, reader, query)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return page, err
	}
	silent := errors.Is(readerCtx.Err(), context.DeadlineExceeded)
	if err == nil && page.Age > s.MaxAge {
		silent, err = true, fmt.Errorf("share: reply is %v old, expected at most %v", page.Age, s.MaxAge)
	}
	// Where the reader doesn't answer, or isn't answered by the store, connections of all entries may be silent.
	if c, ok := s.Store.(sardinerock.IdleCloser); ok && silent {
		c.CloseIdle()
	}
	if err == nil || errors.Is(err, sardinerock.ErrStoreGap) {
		metrics.GetOrRegisterCounter("share.read", s.Metrics).Inc(1)
		return page, err
	}
	metrics.GetOrRegisterCounter("share.failed", s.Metrics).Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cooldowns == nil {
		s.cooldowns = map[string]time.Time{}
	}
	s.cooldowns[reader] = time.Now().Add(cooldown)
	s.Events.Info(event.PeerAsked).Str("peer", reader).Str("topic", query.Get(paramTopic)).Err(err).Msg("reading a topic at a peer failed; skipping the peer for a few seconds")
	return page, err
}

func (s *Source) nextReader() (string, bool) {
	readers := s.Readers()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, address := range readers {
		if now.After(s.cooldowns[address]) {
			return address, true
		}
	}
	return "", false
}

func (s *Source) fetch(ctx context.Context, reader string, query url.Values) (sardinerock.StorePage, error) {
	var page sardinerock.StorePage
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader+topicPath+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return page, err
	}
	resp, err := s.Client.Do(r)
	if err != nil {
		return page, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return page, sardinerock.ErrStoreGap
	default:
		return page, fmt.Errorf("share: peer answered with status %d, expected 200", resp.StatusCode)
	}
	if page, err = decode(resp.Body, !query.Has(paramFrom)); err != nil {
		return page, err
	}
	age, err := strconv.ParseInt(resp.Header.Get(headerAge), 10, 64)
	if err != nil || age < 0 {
		return page, fmt.Errorf("share: invalid age %q in reply, expected nanoseconds from 0", resp.Header.Get(headerAge))
	}
	page.Age, page.StoreRecovered = time.Duration(age), resp.Header.Get(headerStoreRecovered) != ""
	return page, checkContinuous(query, &page)
}

// decode reads the body of a reply; whole says that it is a page of the newest records,
// which is compressed.
func decode(from io.Reader, whole bool) (sardinerock.StorePage, error) {
	var page sardinerock.StorePage
	if whole {
		z, err := gzip.NewReader(from)
		if err != nil {
			return page, err
		}
		from = z
	}
	raw, err := io.ReadAll(io.LimitReader(from, maxReplyBytes))
	if err != nil {
		return page, err
	}
	var body reply
	if err := cbor.Unmarshal(raw, &body); err != nil {
		return page, err
	}
	page.End = body.End
	for _, r := range body.Records {
		page.Records = append(page.Records, sardinerock.StoreRecord{Offset: r.Offset, Key: r.Key, Value: r.Value})
	}
	return page, nil
}

// checkContinuous returns an error if a reply to a read from an offset has a gap: a record
// that a peer left out would never be read.
func checkContinuous(query url.Values, page *sardinerock.StorePage) error {
	if !query.Has(paramFrom) {
		return nil
	}
	next, err := strconv.ParseInt(query.Get(paramFrom), 10, 64)
	if err != nil {
		return err
	}
	for _, r := range page.Records {
		if r.Offset != next {
			return fmt.Errorf("share: reply has a gap: got record %d, expected %d", r.Offset, next)
		}
		next++
	}
	if page.End != next {
		return fmt.Errorf("share: reply truncated: got records up to offset %d, expected up to %d", next, page.End)
	}
	return nil
}

package sardinerock

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind is the kind of a route's requests, which determines whether they may be retried.
type RouteKind int

// The kinds of routes.
const (
	// RouteOnce is for requests that run at most once.
	RouteOnce RouteKind = iota
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent
	// RouteStream is for requests that are answered by a stream of events.
	RouteStream
	// RouteBatch accepts batch jobs.
	RouteBatch
)

// ServiceShare is the share of a route's requests that a service gets.
type ServiceShare struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route holds the services and the rules for requests with a host and a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable is set if a stream may be continued after any event, on any backend server.
	Resumable bool
	// Timeout is the maximum time until the complete answer to a request.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is worth most to its caller.
	LatencyTarget time.Duration
	// GapTarget is the maximum time between two events of a stream that counts as on time; 0 means no target.
	GapTarget time.Duration
	// EventTimeout is how long callers of a stream wait for the next event, including
	// the first, before they disconnect; 0 if they wait for the complete answer.
	EventTimeout time.Duration
	// CompletionTarget is the time within which all results of a batch job are due.
	CompletionTarget time.Duration
	// Retention is the age from which items of a batch job may be given up.
	Retention time.Duration
	// MaxAttempts is the maximum number of backend servers that may run one request.
	MaxAttempts int
	// MaxTokens is the maximum number of tokens of waiting batch items on the route; 0 means unlimited.
	MaxTokens int64
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// Removed is set for the route of a batch job that is no longer configured: it accepts no new jobs.
	Removed bool
	// Anonymous routes are served without a key.
	Anonymous bool
	Shares    []ServiceShare
}

// Repeatable reports whether a request may be retried if its outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// Serves reports whether a service gets requests of the route.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s ServiceShare) bool { return s.Service == service })
}

// Service selects the service for a request by the weights of the shares; draw
// is a random number in [0, 1).
func (r *Route) Service(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// ServiceInfo is the configuration of one service.
type ServiceInfo struct {
	// MaxConnections bounds the open connections of all clients to one backend server; 0 means unlimited.
	MaxConnections int
	// Slots is the number of requests that an engine runs concurrently; 0 for plain services.
	Slots int
	// ReservationTTL is the maximum time for which the backend servers keep a slot
	// reserved; 0 if they don't support reservations.
	ReservationTTL time.Duration
	// SlotTokens is the share of a backend server's memory per slot, in tokens; 0 if unknown.
	SlotTokens int64
	// HealthPath is the path on which a backend server answers health checks; empty if it isn't stated.
	HealthPath string
}

// FitsSlot reports whether a request needs no more memory than one slot's share. If a
// backend server rejects the reservation of such a request, it has no free slot. For a
// larger request it may only lack memory.
func (i ServiceInfo) FitsSlot(tokens int64) bool { return i.SlotTokens == 0 || tokens <= i.SlotTokens }

// CallerLimits bounds the size of a caller's requests and how long its connection may be idle.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// RouteTable is one version of the routes and services.
type RouteTable struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceInfo
	Limits   CallerLimits
	// Teams are the teams that may send requests; nil if callers don't use keys.
	Teams *TeamTable
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *RouteTable) Match(host, path string) *Route {
	var best *Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// HasBatch reports whether a host has a route that accepts batch jobs.
func (t *RouteTable) HasBatch(host string) bool {
	for i := range t.Routes {
		if t.Routes[i].Host == host && t.Routes[i].Kind == RouteBatch {
			return true
		}
	}
	return false
}

// BackendServer is the last registration of one incarnation of a backend server.
type BackendServer struct {
	// ID is unique to the incarnation: a restarted backend server has another.
	ID string
	// Name is the id under which the backend server registers and that it expects in requests.
	// Several incarnations may have the same, one after the other.
	Name    string
	Service string
	Address string
	// Zone is the availability zone.
	Zone  string
	Slots int
	// Draining is set if the backend server finishes its running requests and accepts no new ones.
	Draining bool
	// WarmUp is the remaining time for which the backend server is slow after its start.
	WarmUp time.Duration
	// Sequence increases with each registration of the incarnation.
	Sequence int64
	// Started is when the incarnation started, in Unix milliseconds; 0 if it isn't stated.
	Started int64
	// Version is the version of its software, without an order; empty if it isn't stated.
	Version string
}

// Origin returns the origin of the streams that the backend server begins.
func (b *BackendServer) Origin() Origin { return Origin{Service: b.Service, Version: b.Version} }

// Call is one caller's request. Its body is opaque.
type Call struct {
	// ID is the caller's ID of this request.
	ID     string
	Method string
	// Target is the path with the query, unchanged.
	Target string
	Host   string
	// Header holds the headers to forward, without the hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits for the answer; 0 if unknown.
	Timeout time.Duration
	// Tokens is the maximum memory that a run of the request needs, in tokens of prompt and answer; 0 if unknown.
	Tokens int64
	// SharedParts are the IDs of the parts of its prompt, in order, that other requests may have as well; empty if
	// that is unknown.
	SharedParts []string
	// ResumeAfter is the ID of the last event that the caller has received; empty for a new stream.
	ResumeAfter string
	// Resumes is the ID of the caller's request that brought the stream's first event; empty for a new stream.
	Resumes string
	// Key is the caller's key, which is never forwarded to backend servers.
	Key string
	// Team is the name of the caller's team, which is sent to backend servers; empty
	// if callers don't use keys.
	Team string
	// Unverified is set if this entry can't verify the caller; a peer may be able to.
	Unverified bool
	// Config is the version of the configuration under which the call was routed.
	Config int64
}

// ValidTarget reports whether a path with a query can be the target of a request: it is not empty and has neither
// spaces nor control characters.
func ValidTarget(target string) bool {
	return target != "" && !strings.ContainsFunc(target, isSpaceOrControl)
}

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == '\x7f' }

// Attempt holds the parameters of one attempt to run a call.
type Attempt struct {
	// Instance is the Name of the only backend server that may run the attempt.
	Instance string
	// Remaining is the time that remains for the answer.
	Remaining time.Duration
	// Position is where the stream goes on; zero for a new one, and for responses that are no streams.
	Position Position
	// HeadTimeout is the timeout of the response headers; 0 sets no separate timeout.
	HeadTimeout time.Duration
	// Reservation is the name of the slot reserved for the attempt; empty if there is none.
	Reservation string
}

// ResponseInfo holds what the headers of a backend server's response say about it.
type ResponseInfo struct {
	// CallID is the ID of the call that the response is for; empty if the headers don't say.
	CallID string
	// Signed is set if the response comes from a run of the request.
	Signed bool
	// NotRun is set if the backend server states that it didn't run the request.
	NotRun bool
	// IdleTimeout is how long the backend server keeps an idle connection open; 0 if unknown.
	IdleTimeout time.Duration
	// Instance is the Name of the backend server that sent the response; empty if the headers don't say.
	Instance string
}

// Dialect reads and writes the platform's headers in requests of callers and in
// requests to and responses of backend servers.
type Dialect interface {
	// ReadCall returns a caller's request without its body.
	ReadCall(r *http.Request) Call
	// AttemptHeader returns the request headers of one attempt.
	AttemptHeader(c *Call, a Attempt) http.Header
	// ReadResponse reads the headers of a backend server's response.
	ReadResponse(r *http.Response) ResponseInfo
	// ReserveCall returns the call that reserves a slot and memory for a number of
	// tokens at a backend server until the TTL expires.
	ReserveCall(tokens int64, ttl time.Duration) *Call
	// ReadReservation returns the name of the reserved slot, or "" if the backend server has no free slot or memory.
	ReadReservation(status int, body []byte) (string, error)
	// HealthCall returns the call that checks the health of the backend server with a Name, which waits for a slot at most
	// for the given time. An empty path means the usual one.
	HealthCall(path, instance string, wait time.Duration) *Call
	// CopyResponse copies the headers of a response that are forwarded to the caller.
	CopyResponse(to http.Header, r *http.Response)
	// WriteRetryAfter sets the header with the delay before a retry.
	WriteRetryAfter(to http.Header, after time.Duration)
}

// OnlineRequest is a caller's request that is answered while the caller waits.
type OnlineRequest struct {
	// Table is the route table that contains Route.
	Table *RouteTable
	Route *Route
	Call  *Call
	// Team is the caller's team; nil if it has none.
	Team *TeamInfo
	// Received is when the request arrived, and WaitedBefore how long the caller had waited before that.
	Received     time.Time
	WaitedBefore time.Duration
	// KeyValid reports whether the caller's key is still valid, as far as this entry knows; nil
	// if callers don't use keys.
	KeyValid func() bool
}

// OnlineHandler serves callers' online requests.
type OnlineHandler interface {
	// Serve writes the final answer and reports whether a backend server may have run the request.
	Serve(w http.ResponseWriter, r *http.Request, q *OnlineRequest) (ran bool)
}

// StoreRecord is one record of a partition of the platform's store.
type StoreRecord struct {
	Offset int64
	Key    string
	// Value is nil for a tombstone, which removes the key.
	Value []byte
}

// StorePage is the result of one read of a partition.
type StorePage struct {
	Records []StoreRecord
	// End is the offset of the next record to be appended to the partition.
	End int64
	// More is set if more pages of the newest records follow.
	More bool
	// Age is the time since the store was last known to have no more records than these; 0 if
	// the response came from the store itself.
	Age time.Duration
	// StoreRecovered is set if the response came from an entry that has just regained contact with the store.
	StoreRecovered bool
}

// Errors of the platform's store.
var (
	// ErrStoreRefused means that the store did not and will not execute the call.
	ErrStoreRefused = errors.New("store: call refused, nothing was done")
	// ErrStoreAnswered means that the store rejected the call for a reason other than its own state, such as too many calls: it works.
	ErrStoreAnswered = errors.New("store: the store works and rejected the call")
	// ErrStoreConflict means that the partition doesn't end at the offset that the append expected.
	ErrStoreConflict = errors.New("store: the partition has a later end")
	// ErrStoreGap means that records at this offset are no longer retained.
	ErrStoreGap = errors.New("store: records at this offset are no longer kept")
)

// PartitionName returns the name of a partition of a topic. Partition 0 has the name of the topic.
func PartitionName(topic string, number int) string {
	if number == 0 {
		return topic
	}
	return topic + partitionSeparator + strconv.Itoa(number)
}

// partitionSeparator separates the topic's name from the number of the partition.
const partitionSeparator = "#"

// PartitionOf splits the name of a partition into the topic and the number; it is the inverse of PartitionName.
func PartitionOf(name string) (topic string, number int) {
	topic, digits, found := strings.Cut(name, partitionSeparator)
	if !found {
		return topic, 0
	}
	number, err := strconv.Atoi(digits)
	if err != nil {
		return name, 0
	}
	return topic, number
}

// ContentRef is a reference to a large value in the store, which is stored separately
// from the small record that contains the reference.
type ContentRef struct {
	Partition int `cbor:"1,keyasint,omitempty"`
	// Digest is the digest of the value and part of the keys of its records, which
	// makes writes idempotent: the same value has the same keys.
	Digest uint64        `cbor:"2,keyasint,omitempty"`
	Ranges []RecordRange `cbor:"3,keyasint,omitempty"`
}

// RecordRange is a range of consecutive records that were appended together.
type RecordRange struct {
	_       struct{} `cbor:",toarray"`
	Offset  int64
	Records int
	// Bytes is the number of bytes of the value in these records.
	Bytes int
}

// Size returns the size of the value in bytes.
func (c *ContentRef) Size() int {
	size := 0
	for _, r := range c.Ranges {
		size += r.Bytes
	}
	return size
}

// Store is the platform's store: compacted partitions of records, which keep the
// newest record of each key. PartitionName returns the names of partitions.
type Store interface {
	// AppendAt appends all records or none, if the partition ends at the given
	// offset, and returns the new end. After an error other than ErrStoreRefused and
	// ErrStoreConflict the records may have been appended, or may still be.
	AppendAt(ctx context.Context, partition string, at int64, records []StoreRecord) (int64, error)
	// Append appends all records or none at the end of the partition, and returns
	// the new end. It returns the errors of AppendAt except ErrStoreConflict.
	Append(ctx context.Context, partition string, records []StoreRecord) (int64, error)
	// Read returns records starting at an offset and waits at most the given time for the first.
	Read(ctx context.Context, partition string, from int64, wait time.Duration) (StorePage, error)
	// Fetch returns records starting at an offset: at least one if there is any, and
	// about as many as fill the given number of bytes. It doesn't wait for records.
	Fetch(ctx context.Context, partition string, from int64, bytes int) (StorePage, error)
	// Newest returns a page of the newest record of each key, ordered by key, starting
	// after the given key.
	Newest(ctx context.Context, topic, after string) (StorePage, error)
}

// IdleCloser is a Store that keeps idle connections. CloseIdle closes them, so that the next call doesn't wait on a silent one.
type IdleCloser interface{ CloseIdle() }

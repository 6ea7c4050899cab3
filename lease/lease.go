package lease

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/sardinerock/sardinerock/clock"
	"github.com/sardinerock/sardinerock/event"
	"github.com/sardinerock/sardinerock/watch"
)

const (
	// proofPath is the URL path at which entries answer which configuration is the newest.
	proofPath = "/sardinerock/configuration"
	// pollInterval is the interval of the checks whether a peer has to be queried.
	pollInterval = 500 * time.Millisecond
	// refreshAge is the age of the configuration from which on peers are queried. A read
	// waits up to a second for updates and proves the state at the time it was sent, so
	// that the age normally varies between one and two seconds.
	refreshAge = 2300 * time.Millisecond
	// queryTimeout covers an answer that includes a whole configuration.
	queryTimeout = 700 * time.Millisecond
	// maxProofBytes is the size of the store's largest record and its framing.
	maxProofBytes = 8 << 20
)

// proof is an entry's answer about its configuration in force.
type proof struct {
	Version int64 `cbor:"1,keyasint"`
	// Age is how long ago a read of the store proved this version the newest, in nanoseconds.
	Age time.Duration `cbor:"2,keyasint"`
	// Document is the configuration document, left out if the querying entry has it.
	Document []byte `cbor:"3,keyasint,omitempty"`
}

// Lease limits the age up to which the configuration may be used to admit callers with
// keys, and keeps track of that age.
type Lease struct {
	Table *watch.Table
	// OwnAge returns how long ago this entry's own read proved its configuration the
	// newest; false before its first read.
	OwnAge func() (time.Duration, bool)
	// Length returns up to which age callers with keys are admitted; 0 means at any age.
	Length func() time.Duration
	// Peers returns the addresses of entries that reach the store.
	Peers   func() []string
	Client  *http.Client
	Events  *event.Logger
	Metrics metrics.Registry

	// peerProof is the latest time at which a peer's read proved the configuration here
	// the newest, in nanoseconds since the machine's boot.
	peerProof atomic.Int64
}

// Prepare must be called once before all other methods.
func (l *Lease) Prepare() { l.peerProof.Store(math.MinInt64 / 2) }

// Age returns how long ago the configuration in force was last proven to be the newest,
// by a read of this entry or of a peer that it queried.
func (l *Lease) Age() time.Duration {
	age := clock.Boot() - time.Duration(l.peerProof.Load())
	if own, read := l.OwnAge(); read {
		age = min(age, own)
	}
	return age
}

// Run queries peers while the store is unreachable from this entry, until ctx ends.
// Otherwise this entry would reject all callers with keys once its lease expires, though
// its peers know which configuration is the newest.
func (l *Lease) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if l.Length() > 0 && l.Age() > refreshAge {
				l.queryPeer(ctx)
			}
		}
	}
}

func (l *Lease) queryPeer(ctx context.Context) {
	peers := l.Peers()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	// The proof was at most p.Age old when the peer answered, which is after this
	// moment. So the time of the proof is no earlier than p.Age before this moment,
	// however late the answer arrives and whichever process was suspended meanwhile.
	sent := clock.Boot()
	p, err := l.fetchProof(ctx, peer)
	if err == nil {
		err = l.applyProof(p, sent)
	}
	metrics.GetOrRegisterCounter("configuration.asked", l.Metrics).Inc(1)
	message := "read the newest configuration from a peer"
	if err != nil {
		message = "the newest configuration could not be read from a peer; one is queried again at the next check"
	}
	l.Events.Info(event.PeerAsked).Str("peer", peer).Int64("version", p.Version).Dur("peerAge", p.Age).
		Dur("age", l.Age()).Int("bytes", len(p.Document)).Err(err).Msg(message)
}

func (l *Lease) fetchProof(ctx context.Context, peer string) (p proof, err error) {
	have := int64(0)
	if t := l.Table.Current(); t != nil {
		have = t.Version
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+proofPath+"?have="+strconv.FormatInt(have, 10), http.NoBody)
	if err != nil {
		return p, err
	}
	resp, err := l.Client.Do(r)
	if err != nil {
		return p, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return p, fmt.Errorf("peer answered with status %d, expected 200", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxProofBytes))
	if err != nil {
		return p, err
	}
	return p, cbor.Unmarshal(raw, &p)
}

// applyProof applies the answer of a peer to a query that was sent at a time since boot.
func (l *Lease) applyProof(p proof, sent time.Duration) error {
	if len(p.Document) > 0 {
		if err := l.Table.Update(p.Document); err != nil {
			return err
		}
	}
	if t := l.Table.Current(); t == nil || t.Version < p.Version || p.Age < 0 {
		return fmt.Errorf("peer proved configuration version %d with age %v; it is not in force here", p.Version, p.Age)
	}
	l.peerProof.Store(max(l.peerProof.Load(), int64(sent-p.Age)))
	return nil
}

// serveProof answers a peer's query with the configuration in force and its age. The
// status is 503 before this entry has read a configuration.
func (l *Lease) serveProof(w http.ResponseWriter, r *http.Request) {
	// Only this entry's own proof is sent, since its age is known exactly. The age is read
	// before the table: read after it, the age could belong to a newer table, and the peer
	// would take the older one as proven.
	age, read := l.OwnAge()
	table, document := l.Table.Document()
	if table == nil || !read {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p := proof{Version: table.Version, Age: age}
	if have, err := strconv.ParseInt(r.URL.Query().Get("have"), 10, 64); err != nil || have < table.Version {
		p.Document = document
	}
	raw, err := cbor.Marshal(p)
	if err != nil {
		l.Events.Warn(event.PeerAsked).Err(err).Msg("encoding the configuration for a peer failed; answered with status 500")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A write error means that the peer has disconnected; there is nothing to do.
	_, _ = w.Write(raw)
}

// Handler returns a handler that answers peers' queries for the newest configuration and
// passes all other requests to next.
func (l *Lease) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == proofPath {
			l.serveProof(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

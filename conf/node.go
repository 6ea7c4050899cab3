package conf

import "time"

// Node holds the settings of an entry on the users' platform.
// The names of its fields are logged when a setting changes.
type Node struct {
	// ID is the instance's name.
	ID string
	// Zone is the instance's availability zone.
	Zone string
	// CallerAddress and ReadyAddress are the host:port on which the entry serves callers and the readiness check.
	CallerAddress string
	ReadyAddress  string
	// PeerAddress is the host:port on which the entry receives datagrams of other entries.
	PeerAddress string
	// MetricsAddress is the host:port on which the entry serves its metrics.
	MetricsAddress string
	// StoreAddress is the host:port of the platform's store.
	StoreAddress string
	// RecordBytes and AppendBytes are the sizes of the largest record and of the largest append that the store accepts.
	RecordBytes int
	AppendBytes int
	// Partitions is the number of partitions of a topic in the store, at least 1.
	Partitions int
	// ShutdownTimeout is the time between SIGTERM and SIGKILL.
	ShutdownTimeout time.Duration
	// DrainTimeout is the time within which all entries must stop sending new work to a backend server that starts draining.
	DrainTimeout time.Duration
	// KeepResults is how long results stay readable after a job was accepted.
	KeepResults time.Duration
	// SettleTime is the time within which all entries must show a result that one of them has shown to a caller.
	SettleTime time.Duration
	// ApplyTimeout is the time within which a new configuration must be in force in all entries.
	ApplyTimeout time.Duration
	// MemoryBytes is the memory limit at which the process is killed.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have open.
	Descriptors int
	// Strength is the CPU share of the instance in percent of a core.
	Strength int
	// StrictRevoke requires that every entry rejects a revoked key once RevokeTimeout
	// has passed since its revocation, including an entry that could not learn of it.
	StrictRevoke  bool
	RevokeTimeout time.Duration
	// QuotaWindow is the period over which a team's requests are counted. In each
	// period a team may exceed its quota by the fraction QuotaOverage of the quota
	// plus QuotaSlack requests.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

package budget

const (
	// DefaultMemory is the memory in bytes that is assumed if the settings state none.
	DefaultMemory = 256 << 20
	// DefaultDescriptors is the number of descriptors that is assumed if the settings state none.
	DefaultDescriptors = 1024
	// reservedDescriptors are reserved for files.
	reservedDescriptors = 200
	// connectionBytes is the memory of a connection beside what its requests are charged for: bytes received and not read,
	// the buffers of net/http, and the goroutines and the state of a request in progress.
	connectionBytes = 72 << 10
	// SmallBytes is the size in bytes up to which a request may use the reserve of a budget.
	SmallBytes = 64 << 10
	// minConnections is the least number of connections of a share.
	minConnections = 16
	// checkConnections and checkBytes are the share of readiness checks, and that of metrics requests.
	checkConnections = 32
	checkBytes       = 1 << 20
)

// Limits is one share of a process's memory and descriptors.
type Limits struct {
	// Connections is the largest number of connections.
	Connections int
	// Bytes is the most that all requests may hold, in bytes.
	Bytes int64
	// Reserve is the part of Bytes that is kept for requests of up to SmallBytes.
	Reserve int64
}

// Shares are the shares of all clients of a process.
type Shares struct {
	Callers, Peers, Checks Limits
	// Responses is the memory of the heads and events of responses of backend servers.
	Responses Limits
	// Texts is the memory of the texts of batch items.
	Texts Limits
	// RuntimeBytes is the memory limit of the Go runtime, in bytes.
	RuntimeBytes int64
}

// Divide returns the shares of a process with memory bytes of memory and as many descriptors, each from the settings. A
// value that isn't positive is replaced by its default.
func Divide(memory int64, descriptors int) Shares {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	sockets := max(descriptors-reservedDescriptors, descriptors/2)
	return Shares{
		Callers:      share(memory/4, memory*3/16, sockets*3/8),
		Peers:        share(memory/16, memory/24, sockets/8),
		Checks:       Limits{Connections: checkConnections, Bytes: checkBytes, Reserve: checkBytes / 4},
		Responses:    Limits{Bytes: memory / 16, Reserve: memory / 64},
		Texts:        Limits{Bytes: memory / 8, Reserve: memory / 32},
		RuntimeBytes: memory / 8 * 5,
	}
}

// share returns the limits of clients whose requests may hold requests bytes, and whose connections take up to
// connections bytes and as many descriptors.
func share(requests, connections int64, descriptors int) Limits {
	return Limits{Connections: max(minConnections, min(int(connections/connectionBytes), descriptors)), Bytes: requests, Reserve: requests / 4}
}

package conf

import (
	"crypto/ed25519"
	"fmt"
	"time"
)

// Bounds of the settings shards and shutdown-timeout.
const (
	maxShards          = 4096
	minShutdownTimeout = time.Second
)

// PolicyFifo selects the baseline policy: FIFO order, without the gate and without priorities.
const PolicyFifo = "fifo"

// PolicyNone omits the baseline from a replay. An empty flag would select the default instead.
const PolicyNone = "none"

// Identity holds the ID and the location of this instance.
type Identity struct {
	ID     string `flag:"id" env:"ID" help:"instance id, never used again"`
	Region string `flag:"region" env:"REGION" envDefault:"region1" help:"region of this instance"`
	Zone   string `flag:"zone" env:"ZONE" help:"availability zone of this instance"`
}

func (i *Identity) check(c *checker) {
	c.name("id", i.ID, "give the id under which the instance list knows this instance")
	c.name("region", i.Region, "name the region, for example region1")
	c.name("zone", i.Zone, "name the availability zone, for example zone1")
}

// Signing holds the keys of the accepted signers and the number of sign-offs that a bundle needs.
type Signing struct {
	Signers        []string `flag:"signers" env:"SIGNERS" help:"name=key pairs, separated by commas, of those whose sign-offs count"`
	SignOffsNeeded int      `flag:"sign-offs-needed" env:"SIGN_OFFS_NEEDED" envDefault:"0" help:"number of sign-offs that a bundle needs"`
	// Keys are the public keys by signer's name, which Check parses from Signers.
	Keys map[string]ed25519.PublicKey
}

func (s *Signing) check(c *checker) {
	s.Keys = c.signers("signers", s.Signers)
	if s.SignOffsNeeded < 0 || s.SignOffsNeeded > len(s.Signers) {
		c.fault("sign-offs-needed", fmt.Sprintf("%d can't be reached with %d signers", s.SignOffsNeeded, len(s.Signers)),
			"give a number from 0 to the number of --signers")
	}
}

// Process holds the settings that all long-running processes share: policy, shutdown and log level.
type Process struct {
	Policy          string   `flag:"policy" env:"POLICY" help:"fifo for the baseline without gate and priorities; empty for the real thing"`
	ShutdownTimeout Duration `flag:"shutdown-timeout" env:"SHUTDOWN_TIMEOUT" envDefault:"30s" help:"how long SIGTERM waits for requests that run"`
	LogLevel        string   `flag:"log-level" env:"LOG_LEVEL" envDefault:"info" help:"least level that is logged: info, warn or error"`
}

func (p *Process) check(c *checker) {
	c.oneOf("policy", p.Policy, "", PolicyFifo)
	c.duration("shutdown-timeout", p.ShutdownTimeout, minShutdownTimeout)
	c.oneOf("log-level", p.LogLevel, "info", "warn", "error")
}

// Entry holds the settings of the entry subcommand.
type Entry struct {
	Identity
	CallerAddress string  `flag:"caller-address" env:"CALLER_ADDRESS" help:"IP:port for callers and operators"`
	PeerAddress   string  `flag:"peer-address" env:"PEER_ADDRESS" help:"IP:port for other entries"`
	LogURL        string  `flag:"log-url" env:"LOG_URL" help:"base URL of the platform's log service"`
	InstancesURL  string  `flag:"instances-url" env:"INSTANCES_URL" help:"base URL of the platform's instance list"`
	Shards        int     `flag:"shards" env:"SHARDS" envDefault:"16" help:"number of job shards, the same in every entry for good"`
	Seed          uint64  `flag:"seed" env:"SEED" envDefault:"1" help:"seed of the random choices of routing"`
	AppendBudget  float64 `flag:"append-budget" env:"APPEND_BUDGET" envDefault:"200" help:"appends a second to the log that the whole fleet may make"`
	Signing
	Process
}

// Check returns all faults in the settings, joined, or nil.
func (s *Entry) Check() error {
	c := newChecker(s)
	s.Identity.check(c)
	c.address("caller-address", s.CallerAddress)
	c.address("peer-address", s.PeerAddress)
	if s.CallerAddress != "" && s.CallerAddress == s.PeerAddress {
		c.fault("peer-address", "is the same as --caller-address", "give each its own port")
	}
	c.url("log-url", s.LogURL)
	c.url("instances-url", s.InstancesURL)
	c.between("shards", s.Shards, 1, maxShards)
	if s.AppendBudget <= 0 {
		c.fault("append-budget", "must be above 0", "give the appends per second that the log service accepts, less those of other systems")
	}
	s.Signing.check(c)
	s.Process.check(c)
	return c.err()
}

// Side holds the settings of the side subcommand.
type Side struct {
	Identity
	Address      string `flag:"address" env:"ADDRESS" help:"IP:port for entries"`
	EngineURL    string `flag:"engine-url" env:"ENGINE_URL" help:"base URL of the model engine beside this process"`
	ServiceName  string `flag:"service-name" env:"SERVICE_NAME" help:"name in the bundle of the plain service beside this process"`
	ServiceURL   string `flag:"service-url" env:"SERVICE_URL" help:"base URL of that plain service"`
	InstancesURL string `flag:"instances-url" env:"INSTANCES_URL" help:"base URL of the platform's instance list; empty: every model is loaded here"`
	Signing
	Process
}

// Check returns all faults in the settings, joined, or nil.
func (s *Side) Check() error {
	c := newChecker(s)
	s.Identity.check(c)
	c.address("address", s.Address)
	if s.InstancesURL != "" {
		c.url("instances-url", s.InstancesURL)
	}
	switch {
	case s.EngineURL != "" && s.ServiceURL != "":
		c.fault("service-url", "is set together with --engine-url", "a side has one backend server: give one of the two")
	case s.ServiceURL != "":
		c.url("service-url", s.ServiceURL)
		c.name("service-name", s.ServiceName, "give the name of the plain service in the bundle")
	default:
		c.url("engine-url", s.EngineURL)
		if s.ServiceName != "" {
			c.fault("service-name", "is set without --service-url", "also give the base URL of the plain service")
		}
	}
	s.Signing.check(c)
	s.Process.check(c)
	return c.err()
}

// Operator holds the settings that the operators' subcommands share.
type Operator struct {
	Entry   string   `flag:"entry" env:"ENTRY" envDefault:"http://127.0.0.1:8080" help:"base URL of any entry, or of the balancer"`
	Token   string   `flag:"token" env:"TOKEN" help:"bearer token of an operator; better given by the variable, as flags can be seen by others"`
	Timeout Duration `flag:"timeout" env:"TIMEOUT" envDefault:"30s" help:"how long to wait for the answer"`
}

// Check returns all faults in the settings, joined, or nil.
func (s *Operator) Check() error {
	c := newChecker(s)
	c.url("entry", s.Entry)
	c.notEmpty("token", s.Token, "give a token whose hash the bundle lists for an operator")
	c.duration("timeout", s.Timeout, time.Millisecond)
	return c.err()
}

// Standin holds the settings that all stand-ins of the platform share.
type Standin struct {
	Address string `flag:"address" env:"STANDIN_ADDRESS" help:"IP:port to listen on"`
	Knobs   string `flag:"knobs" env:"STANDIN_KNOBS" envDefault:"{}" help:"speed and faults at the start, as JSON; POST /knobs changes them later"`
}

// Check returns all faults in the settings, joined, or nil.
func (s *Standin) Check() error {
	c := newChecker(s)
	c.address("address", s.Address)
	return c.err()
}

// StandinEngine holds the settings of the stand-in of a model engine.
type StandinEngine struct {
	Standin
	Preload     []string `flag:"preload" env:"STANDIN_PRELOAD" help:"models held at the start, each model@version or model@version:adapter, separated by commas"`
	WeightsURL  string   `flag:"weights-url" env:"STANDIN_WEIGHTS_URL" help:"base URL of the weight store; empty: loading takes no time"`
	ReviveAfter Duration `flag:"revive-after" env:"STANDIN_REVIVE_AFTER" envDefault:"2s" help:"how long a crashed engine is gone; 0 ends the process"`
}

// StandinService holds the settings of the stand-in of a plain service.
type StandinService struct {
	Standin
	Name string `flag:"name" env:"STANDIN_NAME" envDefault:"portal" help:"name of the service in the bundle"`
}

// StandinInstances holds the settings of the stand-in of the instance list.
type StandinInstances struct {
	Standin
	Preset string `flag:"preset" env:"STANDIN_PRESET" help:"file with the list at the start, as JSON like the answer of GET /instances"`
}

// Sign holds the settings of the subcommand that adds a sign-off to a bundle.
type Sign struct {
	Signer  string `flag:"signer" env:"SIGNER" help:"name under which the fleet's settings know the key"`
	KeyFile string `flag:"key-file" env:"KEY_FILE" help:"file that holds the private key, as keygen printed it"`
}

// Check returns all faults in the settings, joined, or nil.
func (s *Sign) Check() error {
	c := newChecker(s)
	c.name("signer", s.Signer, "give the name of the key in --signers")
	c.notEmpty("key-file", s.KeyFile, "give the file with the private key")
	return c.err()
}

// The deployments for which the generator can produce traces.
const (
	KesslingMarrow = "kessling-marrow"
	Goldfields     = "goldfields"
)

// Traces holds the settings of the trace generator.
type Traces struct {
	Deployment string   `flag:"deployment" env:"DEPLOYMENT" envDefault:"kessling-marrow" help:"whose load: kessling-marrow or goldfields"`
	Seed       uint64   `flag:"seed" env:"SEED" envDefault:"1" help:"seed of the generator"`
	Length     Duration `flag:"length" env:"LENGTH" envDefault:"30s" help:"length of the trace"`
}

// Check returns all faults in the settings, joined, or nil.
func (s *Traces) Check() error {
	c := newChecker(s)
	c.oneOf("deployment", s.Deployment, KesslingMarrow, Goldfields)
	c.duration("length", s.Length, time.Second)
	return c.err()
}

// Replay holds the settings of the subcommand that replays traces.
type Replay struct {
	Trace           string   `flag:"trace" env:"TRACE" help:"trace to play, JSONL as traces prints it"`
	Report          string   `flag:"report" env:"REPORT" envDefault:"report" help:"folder for the raw rows and pictures"`
	Entries         []string `flag:"entries" env:"ENTRIES" help:"base URLs of a running fleet's entries, separated by commas; empty: a fleet embedded on loopback"`
	Policy          string   `flag:"policy" env:"POLICY" envDefault:"fifo" help:"baseline that is played after: fifo or none"`
	BaselineEntries []string `flag:"baseline-entries" env:"BASELINE_ENTRIES" help:"base URLs of a running fleet under the baseline, needed for it beside --entries"`
	Length          Duration `flag:"length" env:"LENGTH" envDefault:"8s" help:"how much of the trace each phase plays"`
}

// Check returns all faults in the settings, joined, or nil.
func (s *Replay) Check() error {
	c := newChecker(s)
	c.notEmpty("trace", s.Trace, "give a file such as traces/kessling-marrow.jsonl")
	c.notEmpty("report", s.Report, "give a folder")
	for _, u := range s.Entries {
		c.url("entries", u)
	}
	for _, u := range s.BaselineEntries {
		c.url("baseline-entries", u)
	}
	c.oneOf("policy", s.Policy, PolicyNone, PolicyFifo)
	c.duration("length", s.Length, time.Second)
	if len(s.BaselineEntries) > 0 && len(s.Entries) == 0 {
		c.fault("baseline-entries", "is set without --entries", "give both, or neither for embedded fleets")
	}
	return c.err()
}

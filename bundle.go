package sardinerock

import "time"

// Bundle is one signed-off configuration: which models, adapters and versions serve which callers.
type Bundle struct {
	// BasedOn is the version that the bundle replaces; its own version is one more.
	BasedOn int64 `json:"basedOn"`
	// Note tells operators what the change is for.
	Note     string    `json:"note,omitempty"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services,omitempty"`
	Teams    []Team    `json:"teams"`
	Callers  []Caller  `json:"callers"`
	Batch    Batch     `json:"batch"`
	// SignOffs are signatures over the digest of all the rest.
	SignOffs []SignOff `json:"signOffs,omitempty"`
}

// Version returns the version that the bundle has once it is accepted.
func (b *Bundle) Version() int64 { return b.BasedOn + 1 }

// Model is one model with the versions and adapters that may be loaded.
type Model struct {
	Name     string         `json:"name"`
	Versions []ModelVersion `json:"versions"`
	Adapters []string       `json:"adapters,omitempty"`
	// MinBackends and MaxBackends bound how many backend servers hold each version; MaxBackends 0 means all.
	MinBackends int `json:"minBackends"`
	MaxBackends int `json:"maxBackends,omitempty"`
	// MinSlots and MaxSlots bound the concurrent streams of one backend server.
	MinSlots int `json:"minSlots"`
	MaxSlots int `json:"maxSlots"`
	// FirstToken is the time to first token, in milliseconds, that the gate steers for.
	FirstTokenMs int `json:"firstTokenMs"`
	// MaxTokens bounds one answer.
	MaxTokens int `json:"maxTokens"`
}

// ModelVersion is one version of a model's weights.
type ModelVersion struct {
	Name string `json:"name"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}

// Service is one plain service that the system routes to.
type Service struct {
	Name string `json:"name"`
	// NonRepeatable lists the calls that must run at most once.
	NonRepeatable []CallPattern `json:"nonRepeatable,omitempty"`
	// MaxInFlight bounds the concurrent calls of one backend server.
	MaxInFlight int `json:"maxInFlight"`
	// TimeoutMs bounds one call in milliseconds.
	TimeoutMs int `json:"timeoutMs"`
}

// CallPattern matches calls by method and path prefix; an empty method matches all.
type CallPattern struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
}

// Team groups callers that share a weight.
type Team struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// Caller is one client of the system.
type Caller struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// KeyHashes are SHA-256 hashes, in hex, of the bearer tokens that the caller may use.
	KeyHashes []string `json:"keyHashes"`
	// Grants say what the caller may use.
	Grants []Grant `json:"grants"`
	// Services lists the plain services that the caller may call.
	Services []string `json:"services,omitempty"`
	Weight   int      `json:"weight"`
	// The limits hold for the whole fleet; 0 means none.
	RequestsPerMinute int `json:"requestsPerMinute,omitempty"`
	TokensPerMinute   int `json:"tokensPerMinute,omitempty"`
	MaxInFlight       int `json:"maxInFlight,omitempty"`
	// Operator callers may publish bundles and cancel any job.
	Operator bool `json:"operator,omitempty"`
}

// Grant says that a caller is served by one version of a model and may name the adapters.
type Grant struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Batch holds the settings of batch work.
type Batch struct {
	// ResultHours is how long results stay readable.
	ResultHours int `json:"resultHours"`
	// MaxItems bounds one job.
	MaxItems int `json:"maxItems"`
	// MaxAttempts bounds the tries at an item that fails by its own doing.
	MaxAttempts int `json:"maxAttempts"`
	// PromptPercent is the part of an engine's time, in percent, that batch
	// prompts may take while online work decodes there; 0 means 10.
	PromptPercent int `json:"promptPercent,omitempty"`
}

// SignOff is one Ed25519 signature over a bundle's digest.
type SignOff struct {
	Signer    string `json:"signer"`
	Signature string `json:"signature"`
}

// ConfigSnapshot is a bundle in force in this process.
type ConfigSnapshot struct {
	Bundle  *Bundle
	Version int64
	Digest  string
	// Since is when it came into force here.
	Since time.Time
}

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// Current returns nil as long as the process has no configuration.
	Current() *ConfigSnapshot
}

// Publisher takes bundles from operators.
type Publisher interface {
	ConfigSource
	// Publish proposes a bundle and returns once the log's order has decided. The error is a *Refusal.
	Publish(raw []byte, operator string) (*ConfigSnapshot, error)
}

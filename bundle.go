package sardinerock

import "time"

// Bundle is one signed configuration: which models, adapters and versions serve which callers.
type Bundle struct {
	// BasedOn is the version that the bundle replaces; the bundle's own version is BasedOn + 1.
	BasedOn int64 `json:"basedOn"`
	// Note describes the purpose of the change for operators.
	Note     string    `json:"note,omitempty"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services,omitempty"`
	Teams    []Team    `json:"teams"`
	Callers  []Caller  `json:"callers"`
	Batch    Batch     `json:"batch"`
	// SignOffs are signatures over the digest of all other fields.
	SignOffs []SignOff `json:"signOffs,omitempty"`
}

// Version returns the version of the bundle after it is accepted.
func (b *Bundle) Version() int64 { return b.BasedOn + 1 }

// Model is a model with the versions and adapters that engines may load.
type Model struct {
	Name     string         `json:"name"`
	Versions []ModelVersion `json:"versions"`
	Adapters []string       `json:"adapters,omitempty"`
	// MinBackends and MaxBackends bound the number of backend servers that load each version; MaxBackends 0 means all.
	MinBackends int `json:"minBackends"`
	MaxBackends int `json:"maxBackends,omitempty"`
	// MinSlots and MaxSlots bound the concurrent streams of one backend server.
	MinSlots int `json:"minSlots"`
	MaxSlots int `json:"maxSlots"`
	// FirstTokenMs is the gate's target for the time to first token, in milliseconds.
	FirstTokenMs int `json:"firstTokenMs"`
	// MaxTokens bounds the tokens of one answer.
	MaxTokens int `json:"maxTokens"`
}

// ModelVersion is one version of a model's weights.
type ModelVersion struct {
	Name string `json:"name"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}

// Service is a plain service, one that is not a model, to which the system routes calls.
type Service struct {
	Name string `json:"name"`
	// NonRepeatable lists the calls that must run at most once.
	NonRepeatable []CallPattern `json:"nonRepeatable,omitempty"`
	// MaxInFlight bounds the concurrent calls of one backend server.
	MaxInFlight int `json:"maxInFlight"`
	// TimeoutMs bounds one call in milliseconds.
	TimeoutMs int `json:"timeoutMs"`
}

// CallPattern matches calls by method and path prefix. An empty method matches every method.
type CallPattern struct {
	Method     string `json:"method,omitempty"`
	PathPrefix string `json:"pathPrefix"`
}

// Team is a group of callers. Weight is its share in fair queuing, relative to other teams.
type Team struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// Caller is a client of the system. Weight is its share in fair queuing, relative to other callers of the team.
type Caller struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// KeyHashes are SHA-256 hashes, in hex, of the bearer tokens that the caller may use.
	KeyHashes []string `json:"keyHashes"`
	// Grants are the models that the caller may use.
	Grants []Grant `json:"grants"`
	// Services lists the plain services that the caller may call.
	Services []string `json:"services,omitempty"`
	Weight   int      `json:"weight"`
	// These limits apply to the whole fleet; 0 means unlimited.
	RequestsPerMinute int `json:"requestsPerMinute,omitempty"`
	TokensPerMinute   int `json:"tokensPerMinute,omitempty"`
	MaxInFlight       int `json:"maxInFlight,omitempty"`
	// Operator allows the caller to publish bundles and to cancel any job.
	Operator bool `json:"operator,omitempty"`
}

// Grant allows a caller to use one version of a model, and the listed adapters of it.
type Grant struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Batch holds the settings of batch jobs.
type Batch struct {
	// ResultHours is how long results stay readable, in hours.
	ResultHours int `json:"resultHours"`
	// MaxItems bounds the number of items of a job.
	MaxItems int `json:"maxItems"`
	// MaxAttempts bounds the attempts of an item that fails because of its own content.
	MaxAttempts int `json:"maxAttempts"`
	// PromptPercent is the percentage of an engine's time that the prefill of batch
	// prompts may take while the engine decodes online work; 0 means 10.
	PromptPercent int `json:"promptPercent,omitempty"`
}

// SignOff is an Ed25519 signature over a bundle's digest.
type SignOff struct {
	Signer    string `json:"signer"`
	Signature string `json:"signature"`
}

// ConfigSnapshot is the bundle that is in force in this process.
type ConfigSnapshot struct {
	Bundle  *Bundle
	Version int64
	Digest  string
	// Since is when the bundle came into force in this process.
	Since time.Time
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns nil until the process has a configuration.
	Current() *ConfigSnapshot
}

// Publisher publishes bundles for operators.
type Publisher interface {
	ConfigSource
	// Publish proposes a bundle by appending it to the log, and returns once it is accepted or
	// rejected, which its order in the log decides. The error is a *Refusal.
	Publish(raw []byte, operator string) (*ConfigSnapshot, error)
}

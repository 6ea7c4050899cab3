package grants

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// notReadyRetryAfter is the retry delay while a process has no configuration. A new process has one within seconds.
const notReadyRetryAfter = time.Second

// Directory is a configuration in force, indexed for the lookups that each request needs.
type Directory struct {
	// Snapshot is the indexed configuration.
	Snapshot *sardinerock.ConfigSnapshot
	// callersByKey is indexed by the SHA-256 of the bearer token, in hex. A lookup by hash
	// needs no constant-time comparison: its duration reveals information only about hashes,
	// and a token can't be computed from its hash.
	callersByKey map[string]*sardinerock.Caller
	callers      map[string]*sardinerock.Caller
	models       map[string]*sardinerock.Model
	services     map[string]*sardinerock.Service
}

// New indexes a configuration.
func New(c *sardinerock.ConfigSnapshot) *Directory {
	d := &Directory{
		Snapshot:     c,
		callersByKey: map[string]*sardinerock.Caller{},
		callers:      map[string]*sardinerock.Caller{},
		models:       map[string]*sardinerock.Model{},
		services:     map[string]*sardinerock.Service{},
	}
	b := c.Bundle
	for i := range b.Callers {
		d.callers[b.Callers[i].Name] = &b.Callers[i]
		for _, h := range b.Callers[i].KeyHashes {
			d.callersByKey[strings.ToLower(h)] = &b.Callers[i]
		}
	}
	for i := range b.Models {
		d.models[b.Models[i].Name] = &b.Models[i]
	}
	for i := range b.Services {
		d.services[b.Services[i].Name] = &b.Services[i]
	}
	return d
}

// HashToken returns the SHA-256 of a bearer token in hex, as in a bundle's key hashes.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// NotReady returns the refusal for calls to a process that has no configuration yet.
func NotReady() error {
	f := forms.Refuse(sardinerock.CodeNotReady, "", "no configuration is in force here yet")
	f.RetryAfter = notReadyRetryAfter
	return f
}

// BearerToken returns the bearer token in a call's Authorization header. It returns a refusal if there is none.
func BearerToken(r *http.Request) (string, error) {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", forms.Refuse(sardinerock.CodeUnauthorized, "", "send the header Authorization: Bearer with your token")
	}
	return strings.TrimSpace(token), nil
}

// CallerByToken returns the caller that a bearer token belongs to, or nil.
func (d *Directory) CallerByToken(token string) *sardinerock.Caller {
	return d.callersByKey[HashToken(token)]
}

// Service returns a plain service by name. It returns a refusal if the bundle has no such service or the caller may not call it.
func (d *Directory) Service(c *sardinerock.Caller, name string) (*sardinerock.Service, error) {
	service := d.services[name]
	if service == nil {
		return nil, forms.Refuse(sardinerock.CodeNotFound, "", "no service %q is in the bundle in force", name)
	}
	if !slices.Contains(c.Services, name) {
		return nil, forms.Refuse(sardinerock.CodeForbidden, "", "caller %q may not call the service %q", c.Name, name)
	}
	return service, nil
}

// Target is the model, version and adapter that a model name resolves to for a caller.
type Target struct {
	Model   *sardinerock.Model
	Version string
	Adapter string
}

// Resolve resolves "model" or "model:adapter" by the caller's grants, which name the version. It returns a refusal
// if the bundle has no such model or adapter, or the caller has no grant for it.
func (d *Directory) Resolve(c *sardinerock.Caller, name string) (Target, error) {
	modelName, adapter := d.splitAdapter(name)
	m := d.models[modelName]
	if m == nil || adapter != "" && !slices.Contains(m.Adapters, adapter) {
		return Target{}, forms.Refuse(sardinerock.CodeModelNotFound, "model", "no model %q is in the bundle in force", name)
	}
	for _, g := range c.Grants {
		if g.Model == modelName && (adapter == "" || slices.Contains(g.Adapters, adapter)) {
			return Target{Model: m, Version: g.Version, Adapter: adapter}, nil
		}
	}
	return Target{}, forms.Refuse(sardinerock.CodeForbidden, "model", "caller %q has no grant for %q", c.Name, name)
}

// splitAdapter splits a name into model and adapter. Names of models may contain colons too.
func (d *Directory) splitAdapter(name string) (model, adapter string) {
	i := strings.LastIndexByte(name, ':')
	if i < 0 || d.models[name] != nil {
		return name, ""
	}
	return name[:i], name[i+1:]
}

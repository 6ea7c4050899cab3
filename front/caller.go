package front

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// comeBackReady is when a process without configuration asks to be tried again; a bundle is in force within seconds.
const comeBackReady = time.Second

// directory is a configuration in force, indexed for look-ups on the path of each request.
type directory struct {
	snapshot *sardinerock.ConfigSnapshot
	// callersByKey is indexed by the SHA-256 of the bearer token, in hex. A look-up
	// by hash needs no constant-time comparison: how long it takes tells about
	// hashes, from which no token can be worked out.
	callersByKey map[string]*sardinerock.Caller
	callers      map[string]*sardinerock.Caller
	models       map[string]*sardinerock.Model
	services     map[string]*sardinerock.Service
}

func newDirectory(c *sardinerock.ConfigSnapshot) *directory {
	d := &directory{
		snapshot:     c,
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

// current returns the index of the configuration in force, or nil.
func (s *Server) current() *directory {
	c := s.Publisher.Current()
	if c == nil {
		return nil
	}
	d := s.directory.Load()
	if d == nil || d.snapshot != c {
		d = newDirectory(c)
		s.directory.Store(d)
	}
	return d
}

// HashToken returns the form in which a bundle holds a bearer token: its SHA-256 in hex.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func notReady() error {
	f := forms.Refuse(sardinerock.CodeNotReady, "", "no configuration is in force here yet")
	f.RetryAfter = comeBackReady
	return f
}

func bearer(x *exchange) (string, error) {
	scheme, token, found := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", forms.Refuse(sardinerock.CodeUnauthorized, "", "send the header Authorization: Bearer with your token")
	}
	return strings.TrimSpace(token), nil
}

// authenticate finds the caller by the bearer token, under the configuration that holds for the whole call.
func (s *Server) authenticate(x *exchange) error {
	x.directory = s.current()
	if x.directory == nil {
		return notReady()
	}
	token, err := bearer(x)
	if err != nil {
		return err
	}
	x.caller = x.directory.callersByKey[HashToken(token)]
	if x.caller == nil {
		return forms.Refuse(sardinerock.CodeUnauthorized, "", "the bearer token belongs to no caller of the bundle in force")
	}
	return nil
}

// target is what a caller's model name stands for.
type target struct {
	model   *sardinerock.Model
	version string
	adapter string
}

// resolve turns "model" or "model:adapter" into what the caller's grants make of it.
func (d *directory) resolve(c *sardinerock.Caller, name string) (target, error) {
	modelName, adapter := d.split(name)
	m := d.models[modelName]
	if m == nil || adapter != "" && !slices.Contains(m.Adapters, adapter) {
		return target{}, forms.Refuse(sardinerock.CodeModelNotFound, "model", "no model %q is in the bundle in force", name)
	}
	for _, g := range c.Grants {
		if g.Model == modelName && (adapter == "" || slices.Contains(g.Adapters, adapter)) {
			return target{model: m, version: g.Version, adapter: adapter}, nil
		}
	}
	return target{}, forms.Refuse(sardinerock.CodeForbidden, "model", "caller %q has no grant for %q", c.Name, name)
}

// split cuts the adapter off a name; a model's own name may hold colons too.
func (d *directory) split(name string) (model, adapter string) {
	i := strings.LastIndexByte(name, ':')
	if i < 0 || d.models[name] != nil {
		return name, ""
	}
	return name[:i], name[i+1:]
}

package bundle

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/decode"
)

// Limits of single fields. They are above any real use and catch typing errors.
const (
	maxNameBytes   = 128
	maxResultHours = 24 * 90
	// maxPromptPercent leaves at least half of the engine's time to online requests.
	maxPromptPercent = 50
	maxJobItems      = 1_000_000
	maxAttempts      = 20
)

// checker validates a bundle that was decoded into its types.
type checker struct {
	d        *decode.Document
	b        *sardinerock.Bundle
	faults   []decode.Fault
	models   map[string]*sardinerock.Model
	services map[string]bool
	teams    map[string]bool
}

// Parse decodes and validates a bundle in JSON or YAML. It returns the bundle, or nil and all its faults.
func Parse(raw []byte) (*sardinerock.Bundle, []decode.Fault) {
	b := &sardinerock.Bundle{}
	d := decode.Read(raw, b)
	faults := d.Faults
	if d.Readable {
		// The content is validated even if fields could not be decoded, so that one run of
		// `sardinerock check` reports all faults. A field that could not be decoded is empty here,
		// but it is not reported a second time.
		faults = append(faults, check(b, d)...)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return b, nil
}

func check(b *sardinerock.Bundle, d *decode.Document) []decode.Fault {
	c := &checker{d: d, b: b, models: map[string]*sardinerock.Model{}, services: map[string]bool{}, teams: map[string]bool{}}
	c.atLeast("basedOn", b.BasedOn, 0)
	if len(b.Models) == 0 && len(b.Services) == 0 {
		c.fault("models", "has no models and no services", "at least one is required")
	}
	for i := range b.Models {
		c.model(fmt.Sprintf("models[%d]", i), &b.Models[i])
	}
	for i := range b.Services {
		c.service(fmt.Sprintf("services[%d]", i), &b.Services[i])
	}
	for i, t := range b.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.name(at+".name", t.Name, c.teams[t.Name])
		c.teams[t.Name] = true
		c.atLeast(at+".weight", int64(t.Weight), 1)
	}
	c.callers()
	c.batch(&b.Batch)
	signers := map[string]bool{}
	for i, s := range b.SignOffs {
		at := fmt.Sprintf("signOffs[%d]", i)
		c.name(at+".signer", s.Signer, signers[s.Signer])
		signers[s.Signer] = true
	}
	return c.faults
}

// fault adds a fault unless the decoder has already reported one for the same path.
func (c *checker) fault(path, message, hint string) {
	if c.d.Reported(path) {
		return
	}
	c.faults = append(c.faults, decode.Fault{Path: path, Line: c.d.Line(path), Message: message, Hint: hint})
}

func (c *checker) name(path, name string, duplicate bool) {
	switch {
	case name == "":
		c.fault(path, "is missing", "")
	case duplicate:
		c.fault(path, fmt.Sprintf("%q is a duplicate", name), "names are unique")
	case len(name) > maxNameBytes || strings.ContainsFunc(name, invalidNameRune):
		c.fault(path, fmt.Sprintf("%q is not a valid name", name), fmt.Sprintf("at most %d letters, digits or .-_:/@", maxNameBytes))
	}
}

func invalidNameRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
	return !letter && !strings.ContainsRune(".-_:/@", r)
}

func (c *checker) atLeast(path string, have, least int64) {
	if have < least {
		c.fault(path, fmt.Sprintf("is %d", have), fmt.Sprintf("at least %d", least))
	}
}

func (c *checker) atMost(path string, have, most int64) {
	if have > most {
		c.fault(path, fmt.Sprintf("is %d", have), fmt.Sprintf("at most %d", most))
	}
}

func (c *checker) model(at string, m *sardinerock.Model) {
	c.name(at+".name", m.Name, c.models[m.Name] != nil)
	c.models[m.Name] = m
	if len(m.Versions) == 0 {
		c.fault(at+".versions", "has no version", "at least one")
	}
	seen := map[string]bool{}
	for i, v := range m.Versions {
		where := fmt.Sprintf("%s.versions[%d]", at, i)
		c.name(where+".name", v.Name, seen[v.Name])
		seen[v.Name] = true
		c.atLeast(where+".bytes", v.Bytes, 0)
	}
	c.uniqueNames(at+".adapters", m.Adapters)
	c.atLeast(at+".minBackends", int64(m.MinBackends), 1)
	if m.MaxBackends != 0 {
		c.atLeast(at+".maxBackends", int64(m.MaxBackends), int64(m.MinBackends))
	}
	c.atLeast(at+".minSlots", int64(m.MinSlots), 1)
	c.atLeast(at+".maxSlots", int64(m.MaxSlots), int64(m.MinSlots))
	c.atLeast(at+".firstTokenMs", int64(m.FirstTokenMs), 1)
	c.atLeast(at+".maxTokens", int64(m.MaxTokens), 1)
}

func (c *checker) uniqueNames(at string, names []string) {
	seen := map[string]bool{}
	for i, n := range names {
		c.name(fmt.Sprintf("%s[%d]", at, i), n, seen[n])
		seen[n] = true
	}
}

func (c *checker) service(at string, s *sardinerock.Service) {
	c.name(at+".name", s.Name, c.services[s.Name])
	c.services[s.Name] = true
	c.atLeast(at+".maxInFlight", int64(s.MaxInFlight), 1)
	c.atLeast(at+".timeoutMs", int64(s.TimeoutMs), 1)
	for i, p := range s.NonRepeatable {
		if !strings.HasPrefix(p.PathPrefix, "/") {
			c.fault(fmt.Sprintf("%s.nonRepeatable[%d].pathPrefix", at, i), fmt.Sprintf("%q is not a path", p.PathPrefix), "starts with /")
		}
		if p.Method != strings.ToUpper(p.Method) {
			c.fault(fmt.Sprintf("%s.nonRepeatable[%d].method", at, i), fmt.Sprintf("%q is not a method", p.Method), "upper case, or left out for all methods")
		}
	}
}

func (c *checker) callers() {
	names := map[string]bool{}
	keys := map[string]string{}
	for i := range c.b.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		a := &c.b.Callers[i]
		c.name(at+".name", a.Name, names[a.Name])
		names[a.Name] = true
		if !c.teams[a.Team] {
			c.fault(at+".team", fmt.Sprintf("no team %q in this bundle", a.Team), "")
		}
		c.atLeast(at+".weight", int64(a.Weight), 1)
		c.atLeast(at+".requestsPerMinute", int64(a.RequestsPerMinute), 0)
		c.atLeast(at+".tokensPerMinute", int64(a.TokensPerMinute), 0)
		c.atLeast(at+".maxInFlight", int64(a.MaxInFlight), 0)
		c.keyHashes(at, a, keys)
		for j, g := range a.Grants {
			c.grant(fmt.Sprintf("%s.grants[%d]", at, j), g, a.Grants[:j])
		}
		for j, s := range a.Services {
			if !c.services[s] {
				c.fault(fmt.Sprintf("%s.services[%d]", at, j), fmt.Sprintf("no service %q in this bundle", s), "")
			}
		}
	}
}

func (c *checker) keyHashes(at string, a *sardinerock.Caller, keys map[string]string) {
	if len(a.KeyHashes) == 0 {
		c.fault(at+".keyHashes", "has no key hash", "at least one SHA-256 hash of a token, in hex")
	}
	for i, h := range a.KeyHashes {
		where := fmt.Sprintf("%s.keyHashes[%d]", at, i)
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != 32 || h != strings.ToLower(h) {
			c.fault(where, "is not a SHA-256 hash", "64 lower-case hex digits; never the key itself")
			continue
		}
		if owner, ok := keys[h]; ok {
			c.fault(where, fmt.Sprintf("is also a key of caller %q", owner), "a key belongs to one caller")
		}
		keys[h] = a.Name
	}
}

func (c *checker) grant(at string, g sardinerock.Grant, before []sardinerock.Grant) {
	m := c.models[g.Model]
	if m == nil {
		c.fault(at+".model", fmt.Sprintf("no model %q in this bundle", g.Model), "")
		return
	}
	if slices.ContainsFunc(before, func(o sardinerock.Grant) bool { return o.Model == g.Model }) {
		c.fault(at+".model", fmt.Sprintf("model %q is granted twice", g.Model), "a caller is served by one version of a model")
	}
	if !slices.ContainsFunc(m.Versions, func(v sardinerock.ModelVersion) bool { return v.Name == g.Version }) {
		c.fault(at+".version", fmt.Sprintf("model %q has no version %q in this bundle", g.Model, g.Version), "")
	}
	for i, a := range g.Adapters {
		if !slices.Contains(m.Adapters, a) {
			c.fault(fmt.Sprintf("%s.adapters[%d]", at, i), fmt.Sprintf("model %q has no adapter %q in this bundle", g.Model, a), "")
		}
	}
}

func (c *checker) batch(b *sardinerock.Batch) {
	c.atLeast("batch.resultHours", int64(b.ResultHours), 1)
	c.atMost("batch.resultHours", int64(b.ResultHours), maxResultHours)
	c.atLeast("batch.maxItems", int64(b.MaxItems), 1)
	c.atMost("batch.maxItems", int64(b.MaxItems), maxJobItems)
	c.atLeast("batch.maxAttempts", int64(b.MaxAttempts), 1)
	c.atMost("batch.maxAttempts", int64(b.MaxAttempts), maxAttempts)
	c.atLeast("batch.promptPercent", int64(b.PromptPercent), 0)
	c.atMost("batch.promptPercent", int64(b.PromptPercent), maxPromptPercent)
}

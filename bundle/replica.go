package bundle

import (
	"crypto/ed25519"
	"encoding/json"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// SideSections returns the sections that a side needs: all except the teams with their callers, and
// one with the sign-offs.
func SideSections(c *Content) []Section {
	return []Section{c.Head, c.Models, c.Services, c.Batch, newSection(SectionSignOffs, c.SignOffs)}
}

// SideDigest returns a hash over the models, services and batch sections. Versions with the same hash
// are equivalent for a side.
func SideDigest(sections []Section) uint64 {
	d := xxhash.New()
	for _, s := range sections {
		if s.Name == SectionModels || s.Name == SectionServices || s.Name == SectionBatch {
			// Writing to a hash never fails.
			_, _ = d.WriteString(s.Digest)
		}
	}
	return d.Sum64()
}

// Digests returns the digests of the sections. A side sends them so that the entry can leave these sections out.
func Digests(have []Section) []string {
	digests := make([]string, len(have))
	for i := range have {
		digests[i] = have[i].Digest
	}
	return digests
}

// Missing returns the offered sections of which the digest is not in have.
func Missing(offered []Section, have []string) []Section {
	held := make(map[string]bool, len(have))
	for _, d := range have {
		held[d] = true
	}
	var missing []Section
	for _, s := range offered {
		if !held[s.Digest] {
			missing = append(missing, s)
		}
	}
	return missing
}

// Replica holds a side's copy of the configuration, which entries send. It implements sardinerock.ConfigSource.
type Replica struct {
	// Signers and SignOffsNeeded are as in config.Manager.
	Signers        map[string]ed25519.PublicKey
	SignOffsNeeded int
	Events         *event.Logger

	mu       sync.Mutex
	sections []Section
	current  *sardinerock.ConfigSnapshot
	changed  chan struct{}
}

// Current implements sardinerock.ConfigSource. The bundle has no teams and no callers.
func (r *Replica) Current() *sardinerock.ConfigSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Changed returns a channel that is closed when the next version comes into force.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// Behind reports whether an offered version is newer than the one in force. If so, it also returns the
// digests of the sections that the replica already has.
func (r *Replica) Behind(version int64) (bool, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && version <= r.current.Version {
		return false, nil
	}
	return true, Digests(r.sections)
}

// Advance brings a newer version into force if it has the same SideDigest as the sections that the
// replica has, and reports whether it did. Nearly all of 38,000 changes a day concern only callers.
// Requesting sections for each of them would be the largest share of the control traffic on links.
// The sign-offs are not verified again, because they were verified when the same sections were installed.
func (r *Replica) Advance(version int64, sideDigest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || version <= r.current.Version || SideDigest(r.sections) != sideDigest {
		return false
	}
	r.activate(r.current.Bundle, version, r.current.Digest)
	return true
}

// Install brings a version into force. It combines the received sections with those that the replica
// already has. It ignores a version that is not newer, and returns an error if the content doesn't
// match the digest or lacks sign-offs.
func (r *Replica) Install(version int64, digest string, received []Section) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil && version <= r.current.Version {
		return nil
	}
	sections, err := r.merge(received)
	if err != nil {
		return err
	}
	if sections[0].Digest != digest {
		return merry.Errorf("version %d: digest of the head is %.12s, want %.12s", version, sections[0].Digest, digest)
	}
	b, err := Assemble(sections)
	if err != nil {
		return err
	}
	if b.Version() != version {
		return merry.Errorf("version %d has the content of version %d", version, b.Version())
	}
	if err := VerifySignOffs(digest, b.SignOffs, r.Signers, r.SignOffsNeeded); err != nil {
		return err
	}
	r.sections = sections
	r.activate(b, version, digest)
	return nil
}

// activate brings a version into force. The caller holds r.mu.
func (r *Replica) activate(b *sardinerock.Bundle, version int64, digest string) {
	r.current = &sardinerock.ConfigSnapshot{Bundle: b, Version: version, Digest: digest, Since: time.Now()}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	r.Events.Info(event.BundleInForce).Int64("version", version).Str("digest", digest).Str("source", "entry").Msg("configuration in force")
}

// merge returns the sections of a version: for each digest in the received head, the received section
// or the one already held with that digest.
func (r *Replica) merge(received []Section) ([]Section, error) {
	byDigest := map[string]Section{}
	for _, s := range r.sections {
		byDigest[s.Digest] = s
	}
	var headSection, signOffs *Section
	for _, s := range received {
		s.Digest = hash(s.Content)
		byDigest[s.Digest] = s
		switch s.Name {
		case SectionHead:
			headSection = &s
		case SectionSignOffs:
			signOffs = &s
		}
	}
	if headSection == nil {
		return nil, merry.New("received sections contain no head")
	}
	var h head
	if err := json.Unmarshal(headSection.Content, &h); err != nil {
		return nil, merry.Prepend(err, "head")
	}
	merged := []Section{*headSection}
	for _, want := range [][2]string{{SectionModels, h.Models}, {SectionServices, h.Services}, {SectionBatch, h.Batch}} {
		s, ok := byDigest[want[1]]
		if !ok {
			return nil, merry.Errorf("section %s is missing", want[0])
		}
		s.Name = want[0]
		merged = append(merged, s)
	}
	if signOffs == nil && len(r.sections) > 0 {
		// The entry leaves the sign-offs out if they did not change, for example if no sign-offs are required.
		signOffs = &r.sections[len(r.sections)-1]
	}
	if signOffs == nil {
		return nil, merry.New("section signOffs is missing")
	}
	return append(merged, *signOffs), nil
}

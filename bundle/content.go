package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
)

// Names of the sections of a bundle. Each team forms one section together with its callers.
const (
	SectionHead     = "head"
	SectionModels   = "models"
	SectionServices = "services"
	SectionBatch    = "batch"
	SectionSignOffs = "signOffs"
	teamPrefix      = "team/"
)

// Section is one part of a bundle. Sections are compared and sent individually.
type Section struct {
	Name    string          `json:"name"`
	Digest  string          `json:"digest,omitempty"`
	Content json.RawMessage `json:"content"`
	// team is the decoded content of a team's section. Unchanged sections keep it from
	// version to version, so that a new version only decodes the sections that changed.
	team *team
}

// decodeTeam sets s.team from the content unless it is already set.
func (s *Section) decodeTeam() error {
	if s.team != nil {
		return nil
	}
	t := &team{}
	if err := json.Unmarshal(s.Content, t); err != nil {
		return err
	}
	s.team = t
	return nil
}

func newSection(name string, v any) Section {
	content, err := json.Marshal(v)
	if err != nil {
		// Unreachable: structs of strings, numbers and lists can always be marshalled.
		panic(err)
	}
	return Section{Name: name, Digest: hash(content), Content: content}
}

func hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// head contains the digests of all other sections. Its own hash is the bundle's digest, so a
// side can verify the signed digest without the teams and callers.
type head struct {
	BasedOn  int64  `json:"basedOn"`
	Note     string `json:"note,omitempty"`
	Models   string `json:"models"`
	Services string `json:"services"`
	Batch    string `json:"batch"`
	Teams    string `json:"teams"`
}

// team is the content of a team's section.
type team struct {
	Team    sardinerock.Team     `json:"team"`
	Callers []sardinerock.Caller `json:"callers,omitempty"`
}

// Content is a bundle split into sections in canonical form, which means that lists are sorted by name.
type Content struct {
	Head, Models, Services, Batch Section
	// Teams is sorted by name.
	Teams    []Section
	SignOffs []sardinerock.SignOff
}

// Digest returns the bundle's digest, the hash that sign-offs sign.
func (c *Content) Digest() string { return c.Head.Digest }

// Split returns the canonical content of a bundle.
func Split(b *sardinerock.Bundle) *Content {
	models := slices.Clone(b.Models)
	slices.SortFunc(models, func(x, y sardinerock.Model) int { return strings.Compare(x.Name, y.Name) })
	services := slices.Clone(b.Services)
	slices.SortFunc(services, func(x, y sardinerock.Service) int { return strings.Compare(x.Name, y.Name) })
	c := &Content{
		Models:   newSection(SectionModels, models),
		Services: newSection(SectionServices, services),
		Batch:    newSection(SectionBatch, b.Batch),
		Teams:    splitTeams(b),
		SignOffs: b.SignOffs,
	}
	c.Head = newSection(SectionHead, head{
		BasedOn: b.BasedOn, Note: b.Note,
		Models: c.Models.Digest, Services: c.Services.Digest, Batch: c.Batch.Digest, Teams: teamsDigest(c.Teams),
	})
	return c
}

func splitTeams(b *sardinerock.Bundle) []Section {
	byName := make(map[string]*team, len(b.Teams))
	for _, t := range b.Teams {
		byName[t.Name] = &team{Team: t}
	}
	for _, a := range b.Callers {
		if t := byName[a.Team]; t != nil {
			t.Callers = append(t.Callers, a)
		}
	}
	sections := make([]Section, 0, len(byName))
	for name, t := range byName {
		slices.SortFunc(t.Callers, func(x, y sardinerock.Caller) int { return strings.Compare(x.Name, y.Name) })
		sections = append(sections, newSection(teamPrefix+name, t))
	}
	slices.SortFunc(sections, compareSections)
	return sections
}

func compareSections(x, y Section) int { return strings.Compare(x.Name, y.Name) }

func teamsDigest(teams []Section) string {
	h := sha256.New()
	for i := range teams {
		h.Write([]byte(teams[i].Name))
		h.Write([]byte{0})
		h.Write([]byte(teams[i].Digest))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Bundle decodes the sections into a bundle.
func (c *Content) Bundle() (*sardinerock.Bundle, error) {
	return assemble(append([]Section{c.Head, c.Models, c.Services, c.Batch}, c.Teams...), c.SignOffs)
}

// Sections returns all sections, the head first.
func (c *Content) Sections() []Section {
	return append([]Section{c.Head, c.Models, c.Services, c.Batch}, c.Teams...)
}

// Assemble decodes sections into a bundle. The bundle contains only the teams among the sections.
func Assemble(sections []Section) (*sardinerock.Bundle, error) { return assemble(sections, nil) }

func assemble(sections []Section, signOffs []sardinerock.SignOff) (*sardinerock.Bundle, error) {
	b := &sardinerock.Bundle{SignOffs: signOffs}
	for _, s := range sections {
		var err error
		switch {
		case s.Name == SectionHead:
			var h head
			err = json.Unmarshal(s.Content, &h)
			b.BasedOn, b.Note = h.BasedOn, h.Note
		case s.Name == SectionModels:
			err = json.Unmarshal(s.Content, &b.Models)
		case s.Name == SectionServices:
			err = json.Unmarshal(s.Content, &b.Services)
		case s.Name == SectionBatch:
			err = json.Unmarshal(s.Content, &b.Batch)
		case s.Name == SectionSignOffs:
			err = json.Unmarshal(s.Content, &b.SignOffs)
		case strings.HasPrefix(s.Name, teamPrefix):
			if err = s.decodeTeam(); err == nil {
				b.Teams = append(b.Teams, s.team.Team)
				b.Callers = append(b.Callers, s.team.Callers...)
			}
		}
		if err != nil {
			return nil, merry.Prependf(err, "section %s", s.Name)
		}
	}
	return b, nil
}

// Digest returns the hash of a bundle's canonical form without the sign-offs.
func Digest(b *sardinerock.Bundle) string { return Split(b).Digest() }

// Change is the difference between two contents: the new and changed sections, and the names of the removed ones.
type Change struct {
	Changed []Section `json:"changed"`
	Removed []string  `json:"removed,omitempty"`
}

// Diff returns the change from base to next. It always contains the head, which differs at least in basedOn.
func Diff(base, next *Content) Change {
	d := Change{Changed: []Section{next.Head}}
	for _, p := range [][2]*Section{{&base.Models, &next.Models}, {&base.Services, &next.Services}, {&base.Batch, &next.Batch}} {
		if p[0].Digest != p[1].Digest {
			d.Changed = append(d.Changed, *p[1])
		}
	}
	i, j := 0, 0
	for i < len(base.Teams) || j < len(next.Teams) {
		switch {
		case j == len(next.Teams) || i < len(base.Teams) && base.Teams[i].Name < next.Teams[j].Name:
			d.Removed = append(d.Removed, base.Teams[i].Name)
			i++
		case i == len(base.Teams) || base.Teams[i].Name > next.Teams[j].Name:
			d.Changed = append(d.Changed, next.Teams[j])
			j++
		default:
			if base.Teams[i].Digest != next.Teams[j].Digest {
				d.Changed = append(d.Changed, next.Teams[j])
			}
			i++
			j++
		}
	}
	for i := range d.Changed {
		d.Changed[i].Digest = "" // Apply computes it from the content.
	}
	return d
}

// Apply returns the content after change d to base. It returns an error if the result doesn't have the expected digest.
func Apply(base *Content, d Change, digest string, signOffs []sardinerock.SignOff) (*Content, error) {
	c := &Content{Models: base.Models, Services: base.Services, Batch: base.Batch, SignOffs: signOffs}
	teams := map[string]*Section{}
	for i := range d.Changed {
		s := Section{Name: d.Changed[i].Name, Digest: hash(d.Changed[i].Content), Content: d.Changed[i].Content}
		switch s.Name {
		case SectionHead:
			c.Head = s
		case SectionModels:
			c.Models = s
		case SectionServices:
			c.Services = s
		case SectionBatch:
			c.Batch = s
		default:
			if err := s.decodeTeam(); err != nil {
				return nil, merry.Prependf(err, "section %s", s.Name)
			}
			teams[s.Name] = &s
		}
	}
	for _, name := range d.Removed {
		teams[name] = nil
	}
	c.Teams = mergeTeams(base.Teams, teams)
	return c, c.verify(digest)
}

func mergeTeams(base []Section, changed map[string]*Section) []Section {
	if len(changed) == 0 {
		return base
	}
	merged := make([]Section, 0, len(base)+len(changed))
	for i := range base {
		if _, ok := changed[base[i].Name]; !ok {
			merged = append(merged, base[i])
		}
	}
	for _, s := range changed {
		if s != nil {
			merged = append(merged, *s)
		}
	}
	slices.SortFunc(merged, compareSections)
	return merged
}

// verify checks the head against the expected digest, and the other sections against the digests in the head.
func (c *Content) verify(digest string) error {
	if c.Head.Digest != digest {
		return merry.Errorf("digest of the head is %.12s, want %.12s", c.Head.Digest, digest)
	}
	var h head
	if err := json.Unmarshal(c.Head.Content, &h); err != nil {
		return merry.Prepend(err, "head")
	}
	if h.Models != c.Models.Digest || h.Services != c.Services.Digest || h.Batch != c.Batch.Digest {
		return merry.New("digest of the models, services or batch section differs from the one in the head")
	}
	if h.Teams != teamsDigest(c.Teams) {
		return merry.New("digest of the teams differs from the one in the head")
	}
	return nil
}

// BasedOn returns the version that the content is based on, or -1 if the head can't be decoded.
func (c *Content) BasedOn() int64 {
	var h head
	if err := json.Unmarshal(c.Head.Content, &h); err != nil {
		return -1
	}
	return h.BasedOn
}

package sample

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/config"
	"github.com/sardinerock/sardinerock/grants"
)

// callersPerTeam and the rest of the sample are an assumption about ordinary bundles.
const callersPerTeam = 2

// Bundle is a bundle with four models and two callers a team; limit is what changes from version to version.
func Bundle(basedOn int64, teams, limit int) *sardinerock.Bundle {
	b := &sardinerock.Bundle{
		BasedOn: basedOn, Note: "raise the limit of one caller",
		Services: []sardinerock.Service{{Name: "portal", MaxInFlight: 16, TimeoutMs: 5000, NonRepeatable: []sardinerock.CallPattern{{Method: "POST", PathPrefix: "/orders"}}}},
		Batch:    sardinerock.Batch{ResultHours: 72, MaxItems: 200000, MaxAttempts: 3},
	}
	for i := range 4 {
		b.Models = append(b.Models, sardinerock.Model{
			Name: fmt.Sprint("model-", i), Versions: []sardinerock.ModelVersion{{Name: "2026-10", Bytes: 14e9}, {Name: "2026-11", Bytes: 14e9}},
			Adapters: []string{"panels", "letters"}, MinBackends: 1, MinSlots: 1, MaxSlots: 24, FirstTokenMs: 900, MaxTokens: 4096,
		})
	}
	for i := range teams {
		name := fmt.Sprintf("team%04d", i)
		b.Teams = append(b.Teams, sardinerock.Team{Name: name, Weight: 1})
		for j := range callersPerTeam {
			a := sardinerock.Caller{
				Name: fmt.Sprintf("%s-app%d", name, j), Team: name, KeyHashes: []string{grants.HashToken(fmt.Sprint(name, j))}, Weight: 1,
				Grants:   []sardinerock.Grant{{Model: "model-0", Version: "2026-11", Adapters: []string{"panels"}}, {Model: "model-1", Version: "2026-11"}},
				Services: []string{"portal"}, RequestsPerMinute: 600, TokensPerMinute: 100000, MaxInFlight: 20,
			}
			if i == 0 && j == 0 {
				a.RequestsPerMinute = limit
			}
			b.Callers = append(b.Callers, a)
		}
	}
	return b
}

// Signer signs sample bundles off.
type Signer struct {
	// Public is the key by which keepers know the signer.
	Public  map[string]ed25519.PublicKey
	private ed25519.PrivateKey
}

// NewSigner returns a signer with a key of its own.
func NewSigner() (*Signer, error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	return &Signer{Public: map[string]ed25519.PublicKey{"ann": public}, private: private}, nil
}

// Document signs a bundle off and returns its document.
func (s *Signer) Document(b *sardinerock.Bundle) []byte {
	b.SignOffs = []sardinerock.SignOff{bundle.Sign(b, "ann", s.private)}
	data, err := json.Marshal(b)
	if err != nil {
		panic(err) // Plain structs always marshal.
	}
	return data
}

// Keeper returns a keeper that asks for the sign-off.
func (s *Signer) Keeper(l sardinerock.Log, process string) *config.Keeper {
	return &config.Keeper{Log: l, Process: process, Signers: s.Public, SignOffsNeeded: 1}
}

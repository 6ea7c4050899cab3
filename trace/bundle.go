package trace

import (
	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/grants"
)

// Names that are in every bundle of this package.
const (
	// Operator is the name of the caller that may use the operator's interface.
	Operator     = "operator"
	modelVersion = "v1"
)

// Token returns the bearer token of a caller in the bundles of this package.
func Token(caller string) string { return "replay-" + caller }

// BundleOf returns the bundle for the replay of a trace: each caller may use the
// only model and all services.
func BundleOf(h Header) sardinerock.Bundle {
	b := sardinerock.Bundle{
		Note: "replay of " + h.Deployment,
		Models: []sardinerock.Model{{
			Name: h.Model, Versions: []sardinerock.ModelVersion{{Name: modelVersion, Bytes: 1 << 30}},
			MinBackends: 1, MinSlots: 1, MaxSlots: h.Slots, FirstTokenMs: h.FirstTokenMs, MaxTokens: maxAnswerTokens,
		}},
		Teams: []sardinerock.Team{{Name: h.Deployment, Weight: 1}},
		Batch: sardinerock.Batch{ResultHours: 24, MaxItems: 200000, MaxAttempts: 3},
	}
	for _, name := range h.ServiceNames {
		b.Services = append(b.Services, sardinerock.Service{Name: name, MaxInFlight: 64, TimeoutMs: 10000})
	}
	for _, name := range h.Callers {
		b.Callers = append(b.Callers, sardinerock.Caller{
			Name: name, Team: h.Deployment, Weight: 1, KeyHashes: []string{grants.HashToken(Token(name))},
			Grants:   []sardinerock.Grant{{Model: h.Model, Version: modelVersion}},
			Services: h.ServiceNames,
		})
	}
	b.Callers = append(b.Callers, sardinerock.Caller{
		Name: Operator, Team: h.Deployment, Weight: 1, KeyHashes: []string{grants.HashToken(Token(Operator))},
		Grants: []sardinerock.Grant{}, Operator: true,
	})
	return b
}

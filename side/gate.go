package side

import (
	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/admit"
)

// PolicyFifo names the baseline without gate and priorities.
const PolicyFifo = "fifo"

func newGate(policy string) sardinerock.Gate {
	if policy == PolicyFifo {
		return &admit.Fifo{}
	}
	return &admit.Gate{}
}

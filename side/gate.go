package side

import (
	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/gate"
)

// PolicyFifo names the baseline without gate and priorities.
const PolicyFifo = "fifo"

func newGate(policy string) sardinerock.Gate {
	if policy == PolicyFifo {
		return &gate.Fifo{}
	}
	return &gate.Gate{}
}

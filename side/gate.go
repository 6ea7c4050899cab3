package side

import (
	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/gate"
)

// PolicyFifo is the Policy of the baseline: one queue in order of arrival, without priorities or preemption.
const PolicyFifo = "fifo"

func newGate(policy string) sardinerock.Gate {
	if policy == PolicyFifo {
		return &gate.Fifo{}
	}
	return &gate.Gate{}
}

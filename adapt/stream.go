package adapt

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

// Stream is an attempt that was started, with the tokens that came of it.
type Stream struct {
	Work    sardinerock.Work
	Started time.Time
	// FirstToken is zero until there is one.
	FirstToken time.Time
	LastToken  time.Time
	Tokens     int
}

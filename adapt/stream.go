package adapt

import (
	"time"

	"github.com/sardinerock/sardinerock"
)

// Stream is a started attempt with what is known of its tokens.
type Stream struct {
	Work    sardinerock.Work
	Started time.Time
	// FirstToken and LastToken are when the first and the last token came; zero before the first.
	FirstToken time.Time
	LastToken  time.Time
	Tokens     int
}

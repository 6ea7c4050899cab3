package clis

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/event"
)

// A process stops gracefully; a goroutine that outlives it for a moment still
// logs. The line is dropped: a panic would turn the exit code into 2.
func TestLinesAfterTheStopAreDropped(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	events, stop := newLogger(&out, "info", "side-1")
	events.Info(event.Stopped).Msg("last")
	stop()
	g.Expect(func() { events.Info(event.LinkDown).Msg("late") }).NotTo(Panic())
	g.Expect(out.String()).To(And(ContainSubstring("last"), Not(ContainSubstring("late"))))
}

package event

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestZeroLoggerWritesNowhere(t *testing.T) {
	g := NewWithT(t)
	var l *Logger
	g.Expect(func() { l.Info(Started).Str("a", "b").Msg("x") }).NotTo(Panic())
}

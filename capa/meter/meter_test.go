package meter

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestFit(t *testing.T) {
	g := NewWithT(t)
	a, b := fit([]Point{At(1, 5), At(2, 7), At(10, 23)})
	g.Expect(a).To(BeNumerically("~", 3, 1e-9))
	g.Expect(b).To(BeNumerically("~", 2, 1e-9))
}

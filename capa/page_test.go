package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// The page must name the part that measures a figure, or a reader can't measure
// it again; and each part must be on the page.
func TestPageNamesParts(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	_, measured, found := strings.Cut(string(page), "## Measured")
	g.Expect(found).To(BeTrue())
	rows := regexp.MustCompile(`(?m)^\| (\w+) \| [^|]+ \| [^|]+ \| [^|]*: `).FindAllStringSubmatch(strings.SplitN(measured, "\n|---", 2)[1], -1)
	named := map[string]int{}
	for _, row := range rows {
		named[row[1]]++
	}
	for _, p := range parts {
		g.Expect(named).To(HaveKey(p.name))
		g.Expect(string(page)).To(ContainSubstring("`"+p.name+"`"), p.name)
		delete(named, p.name)
	}
	g.Expect(named).To(BeEmpty(), "rows of parts that there aren't")
}

package node_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var (
	// metricInCode matches the literal part of a metric's name where it is registered.
	metricInCode = regexp.MustCompile(`(?:GetOrRegister\w+|count|set)\("([a-zA-Z.]+)"`)
	// metricsRow matches the first column of a row in docs/METRICS.md, metricNamed a metric's name in it.
	metricsRow  = regexp.MustCompile("(?m)^\\| (`[^|]+) \\|")
	metricNamed = regexp.MustCompile("`([a-zA-Z.]+)`")
)

// docs/METRICS.md must list exactly the metrics that the code registers.
func TestMetricsPageMatchesTheCode(t *testing.T) {
	g := NewWithT(t)
	code := map[string]bool{}
	for _, folder := range []string{"node", "lease", "access", "relay", "origin", "saved", "submit", "runner", "commit", "intake", "platform", "proxy", "share", "shed", "watch"} {
		files, err := filepath.Glob("../" + folder + "/*.go")
		g.Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			raw, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			for _, m := range metricInCode.FindAllStringSubmatch(string(raw), -1) {
				code[m[1]] = true
			}
		}
	}
	page := map[string]bool{}
	raw, err := os.ReadFile("../docs/METRICS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, row := range metricsRow.FindAllStringSubmatch(string(raw), -1) {
		for _, m := range metricNamed.FindAllStringSubmatch(row[1], -1) {
			page[m[1]] = true
		}
	}
	g.Expect(page).To(Equal(code))
}

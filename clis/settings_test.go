package clis

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sardinerock/sardinerock/conf"
)

// settingsSections is what docs/SETTINGS.md must hold from its first section on.
func settingsSections(p *Program) string {
	var page strings.Builder
	for _, c := range p.commands {
		if c.bound == nil {
			continue
		}
		fmt.Fprintf(&page, "## %s\n\nTo %s.\n\n| Flag | Variable | Default | Meaning |\n| --- | --- | --- | --- |\n", c.name, c.sub.Description)
		for _, s := range conf.Settings(c.bound.Settings) {
			byDefault := ""
			if s.Default != "" {
				byDefault = "`" + s.Default + "`"
			}
			fmt.Fprintf(&page, "| `--%s` | `%s` | %s | %s |\n", s.Flag, s.Variable, byDefault, s.Help)
		}
		page.WriteString("\n")
	}
	return strings.TrimSpace(page.String()) + "\n"
}

func TestSettingsPageListsEverySetting(t *testing.T) {
	g := NewWithT(t)
	p := &Program{}
	p.prepare()
	raw, err := os.ReadFile("../docs/SETTINGS.md")
	g.Expect(err).NotTo(HaveOccurred())
	_, sections, _ := strings.Cut(string(raw), "\n## ")
	g.Expect("## " + sections).To(Equal(settingsSections(p)))
}

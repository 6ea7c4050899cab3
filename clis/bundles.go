//go:build !lean

package clis

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/bundle"
	"github.com/sardinerock/sardinerock/conf"
)

func (p *Program) addBundles() {
	var checkFile, signFile string
	c := p.add(&p.parser.Subcommand, "check", "check a bundle or a settings file of the platform", nil,
		func(context.Context) error { return p.check(checkFile) })
	c.sub.AddPositionalValue(&checkFile, "FILE", 1, true, "bundle in JSON or YAML, or settings in TOML")
	s := &conf.Sign{}
	c = p.add(&p.parser.Subcommand, "sign", "sign a bundle off and print it", s,
		func(context.Context) error { return p.sign(s, signFile) })
	c.sub.AddPositionalValue(&signFile, "FILE", 1, true, "bundle in JSON or YAML")
	p.add(&p.parser.Subcommand, "keygen", "print a new key pair for sign-offs", nil,
		func(context.Context) error { return p.keygen() })
}

// parse reads a bundle from a file; the error lists every fault with its line.
func parse(file string) (*sardinerock.Bundle, error) {
	raw, err := conf.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, faults := bundle.Parse(raw)
	if len(faults) == 0 {
		return b, nil
	}
	lines := []string{fmt.Sprintf("%s: %d faults", file, len(faults))}
	for _, f := range faults {
		lines = append(lines, f.String())
	}
	return nil, fmt.Errorf("%s", strings.Join(lines, "\n  "))
}

func (p *Program) check(file string) error {
	if strings.HasSuffix(file, ".toml") {
		return p.checkNode(file)
	}
	b, err := parse(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(p.Out, "%s is well-formed; as version %d its digest is %s, with %d sign-offs\n", file, b.Version(), bundle.Digest(b), len(b.SignOffs))
	return nil
}

func (p *Program) sign(s *conf.Sign, file string) error {
	b, err := parse(file)
	if err != nil {
		return err
	}
	text, err := conf.ReadFile(s.KeyFile)
	if err != nil {
		return err
	}
	key, err := bundle.ParsePrivateKey(strings.TrimSpace(string(text)))
	if err != nil {
		return fmt.Errorf("%s: %w", s.KeyFile, err)
	}
	b.SignOffs = append(b.SignOffs, bundle.Sign(b, s.Signer, key))
	raw, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(p.Out, string(raw))
	return nil
}

func (p *Program) keygen() error {
	public, private, err := bundle.GenerateKey()
	if err != nil {
		return err
	}
	fmt.Fprintf(p.Out, "public  %s\nprivate %s\n", public, private)
	return nil
}

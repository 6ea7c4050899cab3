package conf

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/sardinerock/sardinerock/bundle"
)

// Duration is written as 30s or 1m30s, the format of time.ParseDuration.
type Duration = time.Duration

// checker collects the faults in the settings of one subcommand.
type checker struct {
	settings []Setting
	faults   []error
}

func newChecker(settings any) *checker {
	return &checker{settings: Settings(settings)}
}

func (c *checker) err() error { return errors.Join(c.faults...) }

// fault records a fault in a setting; the hint says how to correct it.
func (c *checker) fault(flag, problem, hint string) {
	i := slices.IndexFunc(c.settings, func(s Setting) bool { return s.Flag == flag })
	c.faults = append(c.faults, fmt.Errorf("--%s (%s): %s; %s", flag, c.settings[i].Variable, problem, hint))
}

func (c *checker) notEmpty(flag, value, hint string) bool {
	if value == "" {
		c.fault(flag, "is missing", hint)
		return false
	}
	return true
}

func (c *checker) name(flag, value, hint string) {
	if c.notEmpty(flag, value, hint) && strings.ContainsAny(value, " \t\n/") {
		c.fault(flag, fmt.Sprintf("%q contains white space or slashes", value), hint)
	}
}

func (c *checker) address(flag, value string) {
	const hint = "give IP:port, for example 10.0.0.7:8080"
	if !c.notEmpty(flag, value, hint) {
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.fault(flag, fmt.Sprintf("%q is not an IP:port", value), hint)
	}
}

func (c *checker) url(flag, value string) {
	const hint = "give a base URL such as http://10.0.0.7:9000"
	if !c.notEmpty(flag, value, hint) {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || strings.HasSuffix(value, "/") {
		c.fault(flag, fmt.Sprintf("%q is not a base URL", value), hint+", without a trailing slash")
	}
}

func (c *checker) between(flag string, value, low, high int) {
	if value < low || value > high {
		c.fault(flag, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("give a number from %d to %d", low, high))
	}
}

// maxDuration is the upper bound of all durations.
const maxDuration = time.Hour

func (c *checker) duration(flag string, value, low time.Duration) {
	if value < low || value > maxDuration {
		c.fault(flag, value.String()+" is out of range", fmt.Sprintf("give a duration from %s to %s", low, maxDuration))
	}
}

func (c *checker) oneOf(flag, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fault(flag, fmt.Sprintf("%q is unknown", value), "give one of "+strings.Join(allowed, ", ")+", or omit it")
	}
}

// signers parses the name=key pairs of the signers whose sign-offs are accepted.
func (c *checker) signers(flag string, pairs []string) map[string]ed25519.PublicKey {
	keys := map[string]ed25519.PublicKey{}
	for _, pair := range pairs {
		name, text, _ := strings.Cut(pair, "=")
		key, err := bundle.ParsePublicKey(text)
		if name == "" || err != nil {
			c.fault(flag, fmt.Sprintf("%q is not a name=key pair", pair), "give the signer's name and the public key that keygen printed, as in ann=BASE64")
			continue
		}
		keys[name] = key
	}
	return keys
}

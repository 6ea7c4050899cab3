package relay

import "github.com/sardinerock/sardinerock"

// Fingerprint returns the hash of a call's content.
func Fingerprint(c *sardinerock.Call) uint64 { return fingerprint(c) }

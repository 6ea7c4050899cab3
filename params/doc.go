// Package params contains what the stand-ins share: parameters that can be changed
// at run time by POST /knobs, and helpers for JSON requests and responses.
package params

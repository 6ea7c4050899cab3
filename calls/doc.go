// Package calls handles one HTTP call: it reads bodies within size and time limits
// and writes responses, server-sent events and refusals with a timeout for callers
// that read slowly.
package calls

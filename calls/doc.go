// Package calls is one HTTP call of a caller: it reads bodies within their limits
// and writes answers, events and refusals to callers who may read slowly.
package calls

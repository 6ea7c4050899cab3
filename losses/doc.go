// Package losses reports, from the logs of all entries, which requests and batch items
// were late, refused or failed: counted by cause, route, entry and second, with the id of
// one example for each cause.
package losses

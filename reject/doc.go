// Package reject creates the refusals of batch calls, so that every caller gets the same
// code and text for the same outcome.
package reject

// Package access is the HTTP front of callers' requests: it matches the route, identifies
// the caller, checks the quota of its team and passes admitted requests on.
package access

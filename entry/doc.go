// Package entry implements the entry role, behind the platform's load balancer:
// it accepts callers' requests and jobs, routes online requests to sides and owns
// job shards.
package entry

// Package entry stands behind the platform's balancer: it takes callers'
// requests and jobs, routes online work to sides and owns shards of jobs.
package entry

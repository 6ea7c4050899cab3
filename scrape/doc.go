// Package scrape exposes a metrics registry in the Prometheus text format.
package scrape

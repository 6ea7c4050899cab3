// Package scrape writes a registry of metrics in the text form that scrapers read.
package scrape

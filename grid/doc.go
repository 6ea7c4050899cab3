// Package grid says which entries tell which others what: along the rows and columns of a grid, and
// from availability zone to availability zone in large fleets. It has no network and no clock.
package grid

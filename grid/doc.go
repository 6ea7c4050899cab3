// Package grid defines which entries send state to which others: along the rows and columns of a grid,
// and in large fleets between availability zones. It uses no network and no clock.
package grid

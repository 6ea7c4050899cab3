// Package side runs beside each backend server: all work for it passes through
// the gate here, and only from here does it get orders.
package side

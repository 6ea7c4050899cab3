// Package clock measures elapsed time including the time for which the machine is suspended.
package clock

package main

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// point is one size with what was measured at it.
type point struct {
	size  float64
	value float64
}

// report prints measurements as lines of a table.
type report struct {
	out    io.Writer
	headed bool
}

// slope prints the points and the line through them, by least squares.
func (r *report) slope(name, unit, per string, points ...point) {
	r.head()
	a, b := fit(points)
	fmt.Fprintf(r.out, "| %s | %s | %s | %s per %s | %s |\n", name, unit, listPoints(points), number(b), per, number(a))
}

// values prints points that lie on no line.
func (r *report) values(name, unit string, points ...point) {
	r.head()
	fmt.Fprintf(r.out, "| %s | %s | %s | - | - |\n", name, unit, listPoints(points))
}

func (r *report) head() {
	if r.headed {
		return
	}
	r.headed = true
	fmt.Fprintf(r.out, "| what | unit | size: value | slope | at 0 |\n|---|---|---|---|---|\n")
}

func listPoints(points []point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = number(p.size) + ": " + number(p.value)
	}
	return strings.Join(parts, ", ")
}

// number prints three significant digits without an exponent.
func number(x float64) string {
	switch a := max(x, -x); {
	case a >= 100 || a == 0:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	case a >= 1:
		return fmt.Sprintf("%.2f", x)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}

// fit returns the line a + b*size through the points.
func fit(points []point) (a, b float64) {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the heap and the stacks in use once garbage is gone.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// timed returns the mean time of one call in microseconds, over a fifth of a second at least.
func timed(f func()) float64 {
	f()
	const atLeast = 200 * time.Millisecond
	n := 0
	started := time.Now()
	for time.Since(started) < atLeast {
		f()
		n++
	}
	return float64(time.Since(started).Microseconds()) / float64(n)
}

package meter

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Point is one size with what was measured at it.
type Point struct {
	Size  float64
	Value float64
}

// At returns the point of a size and its value.
func At(size, value float64) Point { return Point{Size: size, Value: value} }

// Report prints measurements as lines of a table.
type Report struct {
	Out    io.Writer
	headed bool
}

// Slope prints the points and the line through them, by least squares.
func (r *Report) Slope(name, unit, per string, points ...Point) {
	r.head()
	a, b := fit(points)
	fmt.Fprintf(r.Out, "| %s | %s | %s | %s per %s | %s |\n", name, unit, listPoints(points), number(b), per, number(a))
}

// Values prints points that lie on no line.
func (r *Report) Values(name, unit string, points ...Point) {
	r.head()
	fmt.Fprintf(r.Out, "| %s | %s | %s | - | - |\n", name, unit, listPoints(points))
}

func (r *Report) head() {
	if r.headed {
		return
	}
	r.headed = true
	fmt.Fprintf(r.Out, "| what | unit | size: value | slope | at 0 |\n|---|---|---|---|---|\n")
}

func listPoints(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = number(p.Size) + ": " + number(p.Value)
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
func fit(points []Point) (a, b float64) {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// CPU returns the processor time that this process has used.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Memory returns the heap and the stacks in use once garbage is gone.
func Memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Timed returns the mean time of one call in microseconds, over a fifth of a second at least.
func Timed(f func()) float64 {
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

package scrape

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Write writes all metrics of the registry as an HTTP response in the Prometheus
// text format, version 0.0.4, sorted by name.
func Write(w http.ResponseWriter, registry metrics.Registry) {
	var lines []string
	registry.Each(func(name string, m any) {
		lines = append(lines, metricLines(metricName(name), m)...)
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// metricName converts front.refused.notReady to sardinerock_front_refused_notReady.
func metricName(name string) string {
	return "sardinerock_" + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

var quantiles = []float64{0.5, 0.95, 0.99}

func metricLines(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, m.Value())}
	case metrics.Meter:
		return []string{fmt.Sprintf("%s_total %d", name, m.Count())}
	case metrics.Histogram:
		return distributionLines(name, m.Count(), float64(m.Sum()), m.Percentiles(quantiles), 1)
	case metrics.Timer:
		const nanosecondsPerSecond = 1e9
		return distributionLines(name+"_seconds", m.Count(), float64(m.Sum()), m.Percentiles(quantiles), nanosecondsPerSecond)
	default:
		return nil
	}
}

func distributionLines(name string, count int64, sum float64, values []float64, unit float64) []string {
	lines := []string{
		fmt.Sprintf("%s_count %d", name, count),
		fmt.Sprintf("%s_sum %g", name, sum/unit),
	}
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s{quantile=%q} %g", name, fmt.Sprint(q), values[i]/unit))
	}
	return lines
}

//go:build deps

package sardinerock

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/ansel1/merry/v2"
	_ "github.com/caarlos0/env/v11"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/integrii/flaggy"
	_ "github.com/looplab/fsm"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/phuslu/log"
	_ "github.com/rcrowley/go-metrics"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)

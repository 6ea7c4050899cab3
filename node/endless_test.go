package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestItemGoesOnAfterBytesWithoutEnd guards against an item whose backend server sends bytes without end being read
// until its time is over, or its text filling the memory of an entry.
func TestItemGoesOnAfterBytesWithoutEnd(t *testing.T) {
	for name, write := range map[string]func(w io.Writer) error{
		"an event": func(w io.Writer) error {
			if _, err := io.WriteString(w, "id: 1\ndata: "); err != nil {
				return err
			}
			return repeat(w, "x")
		},
		"comments": func(w io.Writer) error { return repeat(w, ": x\n") },
		"events": func(w io.Writer) error {
			data := strings.Repeat("x", 1000)
			for n := 1; ; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
					return err
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			var done atomic.Bool
			f.onRun = func(w http.ResponseWriter, r *http.Request) bool {
				if done.Swap(true) {
					return false
				}
				w.Header().Set("Content-Type", "text/event-stream")
				if err := write(w); err == nil {
					t.Error("bytes without end were read for too long")
				}
				return true
			}
			status, body := f.call(f.entries[0], http.MethodPost, "/batch/j", "job1", jobBody(1, 1))
			f.g.Expect(status).To(Equal(http.StatusAccepted), body)
			f.g.Eventually(func() int { return len(f.results(f.entries[0], "job1", 0).Results) }, 10*time.Second).Should(Equal(1))
			f.expectDone("job1", 1)
		})
	}
}

// repeat writes a text until there is an error, or far more than any response may have.
func repeat(w io.Writer, text string) error {
	const size, most = 16 << 10, 1 << 30
	text = strings.Repeat(text, size/len(text))
	for range most / size {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// crowdSize is the number of clients that send at once, silentSize that of those which send nothing.
	crowdSize  = 300
	silentSize = 900
	// endless is how many bytes a client sends of what has no end.
	endless = 2 << 20
	// nearlyAll is the part of a body that is sent by clients that stop just short of its end.
	nearlyAll = maxBodyBytes - 1
	// sendTimeout is after how long without progress a client sends no more; the entry may stop reading.
	sendTimeout = 2 * time.Second
	// quiet is how long the crowd stays connected once all have sent what they send.
	quiet = time.Second
	// comingAtOnce is the number of clients of a crowd that connect again and again.
	comingAtOnce = 100
	// rounds is how often a crowd that comes again does so.
	rounds = 3
)

// client sends something on a connection and returns once it stops.
type client func(c io.Writer, number int)

// write sends text, repeated until size bytes are sent. An error means that the entry has closed the connection or
// doesn't read.
func write(c io.Writer, text string, size int) bool {
	const piece = 16 << 10
	if len(text) < piece {
		text = strings.Repeat(text, piece/len(text))
	}
	for ; size > 0; size -= len(text) {
		if size < len(text) {
			text = text[:size]
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	return true
}

// head returns the head of a request with a body, without the empty line at its end.
func head(path, framing string, number int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd-%d\r\nDeadline-Ms: 60000\r\n%s\r\n", path, number, framing)
}

var withLength = fmt.Sprintf("Content-Length: %d", maxBodyBytes)

const chunked = "Transfer-Encoding: chunked"

func lettersHead(framing string, number int) string { return head("/letters/x", framing, number) }

// chunks sends a chunked body of about size bytes without its last chunk.
func chunks(c io.Writer, chunk, size int) bool {
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return write(c, text, size/chunk*len(text))
}

// jobBody returns the body of a batch job of about maxBodyBytes.
func jobBody() string {
	item := `{"id":"%d","path":"/batch/x","headers":{"Model":"m"},"body":"` + strings.Repeat("QUJD", 1280) + `","tokens":1}`
	var items []string
	for i := range maxBodyBytes/len(item) - 1 {
		items = append(items, fmt.Sprintf(item, i))
	}
	return `{"items":[` + strings.Join(items, ",") + `]}`
}

// manyHeadersJob returns the body of a batch job with one item of very many headers.
func manyHeadersJob() string {
	var b strings.Builder
	b.WriteString(`{"items":[{"id":"1","path":"/batch/x","tokens":1,"headers":{"A":"b"`)
	for i := 0; b.Len() < maxBodyBytes-100; i++ {
		fmt.Fprintf(&b, `,"%x":""`, i)
	}
	b.WriteString(`}}]}`)
	return b.String()
}

// manyItemsJob returns the body of a batch job of very many items.
func manyItemsJob() string {
	return `{"items":[{}` + strings.Repeat(",{}", maxBodyBytes/3-20) + `]}`
}

// whole sends a whole request.
func whole(path, body string) client {
	return func(c io.Writer, number int) {
		if _, err := io.WriteString(c, head(path, fmt.Sprintf("Content-Length: %d", len(body)), number)+"\r\n"); err == nil {
			write(c, body, len(body))
		}
	}
}

// forms are what the clients of a crowd send.
var forms = map[string]client{
	"header line without end": func(c io.Writer, _ int) {
		_, _ = io.WriteString(c, "POST /letters/x HTTP/1.1\r\nHost: h\r\nX: ")
		write(c, "x", endless)
	},
	"request line without end": func(c io.Writer, _ int) {
		_, _ = io.WriteString(c, "POST /letters/")
		write(c, "x", endless)
	},
	"header lines without end": func(c io.Writer, _ int) {
		_, _ = io.WriteString(c, "POST /letters/x HTTP/1.1\r\nHost: h\r\n")
		for i := 0; i < endless/8; i += 1000 {
			var b strings.Builder
			for j := range 1000 {
				fmt.Fprintf(&b, "%x:\r\n", i+j)
			}
			if _, err := io.WriteString(c, b.String()); err != nil {
				return
			}
		}
	},
	"empty lines without end": func(c io.Writer, _ int) { write(c, "\r\n", endless) },
	"empty lines without end after a request": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead("Content-Length: 1", number)+"\r\nx")
		write(c, "\r\n", endless)
	},
	"heads of many short lines that stop short, twice the limit": func(c io.Writer, _ int) {
		_, _ = io.WriteString(c, "POST /letters/x HTTP/1.1\r\nHost: h\r\n")
		for i := range 2 * maxHeadBytes / 7 {
			if _, err := fmt.Fprintf(c, "%x:\r\n", 0x1000+i); err != nil {
				return
			}
		}
	},
	"bodies that stop short": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(withLength, number)+"\r\n")
		write(c, "x", nearlyAll)
	},
	"bodies in pieces that stop short": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(withLength, number)+"\r\n")
		const pieces = 16
		for range pieces {
			if !write(c, "x", nearlyAll/pieces) {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	},
	"bodies whole": whole("/letters/x", strings.Repeat("x", maxBodyBytes)),
	"large chunks that stop short": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(chunked, number)+"\r\n")
		chunks(c, 64<<10, nearlyAll)
	},
	"chunks of one byte that stop short": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(chunked, number)+"\r\n")
		chunks(c, 1, nearlyAll)
	},
	"large chunks whole": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(chunked, number)+"\r\n")
		if chunks(c, 64<<10, nearlyAll) {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
	},
	"trailers without end": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(chunked, number)+"\r\n1\r\nx\r\n0\r\n")
		write(c, "A: b\r\n", endless)
	},
	"chunk extension without end": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(chunked, number)+"\r\n1;")
		write(c, "x", endless)
	},
	"bodies after 100 Continue": func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead("Expect: 100-continue\r\n"+withLength, number)+"\r\n")
		write(c, "x", nearlyAll)
	},
	"many requests on each connection": func(c io.Writer, number int) {
		write(c, lettersHead("Content-Length: 0", number)+"\r\n", endless)
	},
	"jobs whole":                  whole("/batch/x", jobBody()),
	"jobs of very many headers":   whole("/batch/x", manyHeadersJob()),
	"jobs of very many items":     whole("/batch/x", manyItemsJob()),
	"bodies of unknown routes":    whole("/none/x", strings.Repeat("x", maxBodyBytes)),
	"heads alone of large bodies": func(c io.Writer, number int) { _, _ = io.WriteString(c, lettersHead(withLength, number)+"\r\n") },
}

// impatient is a connection whose writes fail after sendTimeout.
type impatient struct{ net.Conn }

func (c *impatient) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// connect has clients connect to an address, send what they send, and stay connected until release is called. It returns
// once all have sent.
func (w *world) connect(address string, count int, send ...client) (release func()) {
	var sent, left sync.WaitGroup
	leave := make(chan struct{})
	for n := range count {
		sent.Add(1)
		left.Go(func() {
			done := sync.OnceFunc(sent.Done)
			defer done()
			c, err := net.DialTimeout("tcp", address, patience)
			if err != nil {
				return
			}
			defer c.Close()
			send[n%len(send)](&impatient{c}, n)
			done()
			<-leave
		})
	}
	sent.Wait()
	release = sync.OnceFunc(func() {
		close(leave)
		left.Wait()
	})
	w.t.Cleanup(release)
	return release
}

// withstand plays a crowd and checks that an ordinary request is answered beside it and after it.
func (w *world) withstand(address string, count int, send ...client) {
	w.t.Helper()
	release := w.connect(address, count, send...)
	time.Sleep(quiet)
	w.expectServed()
	release()
	w.expectServed()
	w.expectGivenBack()
	w.expectWithinLimits()
}

func silent(io.Writer, int) {}

// TestCrowdOfOneForm guards against clients that don't finish what they send, or send as much as they may at once, filling
// the memory or the descriptors of an entry.
func TestCrowdOfOneForm(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(forms)) {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.withstand(w.front(), crowdSize, forms[name])
		})
	}
}

// TestSilentCrowd guards against connections on which nothing is sent taking all descriptors.
func TestSilentCrowd(t *testing.T) {
	w := newWorld(t)
	w.withstand(w.front(), silentSize, silent)
}

// TestCrowdThatKeepsComing guards against clients that connect again and again keeping ordinary ones out.
func TestCrowdThatKeepsComing(t *testing.T) {
	for _, name := range []string{"silent", "bodies that stop short", "header lines without end"} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			send := forms[name]
			if send == nil {
				send = silent
			}
			stop := make(chan struct{})
			var crowd sync.WaitGroup
			for range comingAtOnce {
				crowd.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
						}
						c, err := net.DialTimeout("tcp", w.front(), patience)
						if err != nil {
							continue
						}
						send(&impatient{c}, 0)
						time.Sleep(100 * time.Millisecond)
						c.Close()
					}
				})
			}
			time.Sleep(quiet)
			w.expectServed()
			close(stop)
			crowd.Wait()
			w.expectServed()
			w.expectGivenBack()
			w.expectWithinLimits()
		})
	}
}

// TestCrowdOfTwoForms guards against bounds that hold for one form of misuse each, but not for their sum.
func TestCrowdOfTwoForms(t *testing.T) {
	for name, pair := range map[string][2]string{
		"bodies and heads":  {"bodies that stop short", "heads of many short lines that stop short, twice the limit"},
		"chunks and jobs":   {"large chunks that stop short", "jobs whole"},
		"whole and partial": {"bodies whole", "bodies that stop short"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.withstand(w.front(), crowdSize, forms[pair[0]], forms[pair[1]])
		})
	}
}

// TestCrowdThatComesAgain guards against what a crowd took not being given back when it leaves.
func TestCrowdThatComesAgain(t *testing.T) {
	for _, name := range []string{"bodies that stop short", "header lines without end", "jobs whole"} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			for range rounds {
				w.withstand(w.front(), crowdSize, forms[name])
			}
		})
	}
}

// TestCrowdAtOtherAddresses guards against the addresses for peers, readiness checks and metrics being without bounds.
func TestCrowdAtOtherAddresses(t *testing.T) {
	for name, port := range map[string]string{"peers": ":7660", "readiness": ":8140", "metrics": ":9464"} {
		for _, form := range []string{"bodies that stop short", "header lines without end"} {
			t.Run(name+", "+form, func(t *testing.T) {
				w := newWorld(t)
				w.withstand(w.ip+port, crowdSize, forms[form])
			})
		}
		t.Run(name+", silent", func(t *testing.T) {
			w := newWorld(t)
			w.withstand(w.ip+port, silentSize, silent)
		})
	}
}

// TestCrowdWithoutStore guards against requests that wait for the store filling the memory of an entry.
func TestCrowdWithoutStore(t *testing.T) {
	w := newWorld(t)
	w.storeDown.Store(true)
	w.withstand(w.front(), crowdSize, forms["jobs whole"], forms["bodies that stop short"])
}

// TestCrowdAtStart guards against requests that are held until the configuration is known filling the memory of an entry.
func TestCrowdAtStart(t *testing.T) {
	w := newWorld(t)
	w.restart()
	w.withstand(w.front(), crowdSize, forms["bodies whole"], forms["bodies that stop short"])
}

// TestCrowdAtShutdown guards against clients that don't finish what they send keeping an entry from exiting.
func TestCrowdAtShutdown(t *testing.T) {
	w := newWorld(t)
	w.connect(w.front(), crowdSize, forms["bodies that stop short"])
	w.g.Expect(w.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
	w.connect(w.front(), crowdSize, forms["header lines without end"])
	w.g.Eventually(w.exited, patience).Should(BeClosed())
	w.g.Expect(w.cmd.ProcessState.ExitCode()).To(BeZero())
	w.g.Expect(w.peakBytes.Load()).To(BeNumerically("<=", memoryMB<<20), "bytes of memory")
}

// TestCrowdThatDoesNotRead guards against answers that their callers don't read filling the memory of an entry.
func TestCrowdThatDoesNotRead(t *testing.T) {
	w := newWorld(t)
	w.submit("ordinary-large", largeTexts)
	read := func(c io.Writer, _ int) {
		// The requests after the first one are sent on the same connection without waiting for its answer.
		for range 20 {
			_, _ = io.WriteString(c, "GET /v1/lots/ordinary-large?after=0 HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}
	w.withstand(w.front(), crowdSize, read)
}

// TestLargestRequestsAreServed guards against bounds that reject a single request within the limits of the configuration.
func TestLargestRequestsAreServed(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	largestHead := "X: " + strings.Repeat("x", maxHeadBytes-500) + "\r\n"
	for name, send := range map[string]client{
		"whole": whole("/letters/x", body),
		"largest head": func(c io.Writer, n int) {
			_, _ = io.WriteString(c, lettersHead(largestHead+"Content-Length: 1", n)+"\r\nx")
		},
		"many headers": func(c io.Writer, n int) {
			_, _ = io.WriteString(c, lettersHead(shortLines+"Content-Length: 1", n)+"\r\nx")
		},
		"chunks of one byte": func(c io.Writer, n int) {
			_, _ = io.WriteString(c, lettersHead(chunked, n)+"\r\n")
			chunks(c, 1, maxBodyBytes)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		},
		"slowly":                slowly(body),
		"job":                   whole("/batch/x", jobBody()),
		"job with many headers": whole("/batch/x", manyHeadersJob()),
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			c, err := net.Dial("tcp", w.front())
			w.g.Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			send(c, 0)
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			w.g.Expect(err).NotTo(HaveOccurred())
			answer.Body.Close()
			w.g.Expect(answer.StatusCode).To(BeElementOf(http.StatusOK, http.StatusAccepted))
			w.expectWithinLimits()
		})
	}
}

// shortLines are as many header lines as fit into the largest head.
var shortLines = func() string {
	var b strings.Builder
	for i := range (maxHeadBytes - 500) / 8 {
		fmt.Fprintf(&b, "%x:\r\n", 0x10000+i)
	}
	return b.String()
}()

// slowly sends a request over two seconds.
func slowly(body string) client {
	return func(c io.Writer, number int) {
		_, _ = io.WriteString(c, lettersHead(withLength, number)+"\r\n")
		const pieces = 20
		for i := range pieces {
			_, _ = io.WriteString(c, body[i*len(body)/pieces:(i+1)*len(body)/pieces])
			time.Sleep(100 * time.Millisecond)
		}
	}
}

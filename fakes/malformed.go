package fakes

import (
	"fmt"
	"strings"
)

// Malformed returns bytes by name that aren't a response of HTTP/1.1, with fields, each ended by CRLF, and a body that a client
// would take for those of a response if it skipped the first head, or ignored what breaks the grammar.
func Malformed(fields, body string) map[string]string {
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	ok := "HTTP/1.1 200 OK\r\n"
	return map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\n" + whole,
		"status 000 and another": "HTTP/1.1 000 X\r\n\r\n" + ok + whole,
		"status 099":             "HTTP/1.1 099 X\r\n" + whole,
		"status 101 and another": "HTTP/1.1 101 X\r\n\r\n" + ok + whole,
		"status 600":             "HTTP/1.1 600 X\r\n" + whole,
		"status 999":             "HTTP/1.1 999 X\r\n" + whole,
		"another version":        "HTTP/2.0 200 OK\r\n" + whole,
		"blank in a name":        ok + "Other Name: x\r\n" + whole,
		"blank before a colon":   ok + "Other : x\r\n" + whole,
		"control byte in a name": ok + "Other\x01: x\r\n" + whole,
		"continued line":         ok + "Other: x\r\n Name: x\r\n" + whole,
		"informational head":     "HTTP/1.1 103 OK\r\nOther : x\r\n\r\n" + ok + whole,
		"HTTP/1.0 with encoding": "HTTP/1.0 200 OK\r\n" + fields + chunks + "\r\n",
		"trailer":                ok + fields + chunks + "Other : x\r\n\r\n",
		"no body":                ok + fields + "Other : x\r\nContent-Length: 0\r\n\r\n",
		"head that stops":        ok + fields + "Content-Len",
		"first line that stops":  "HTTP/1.1 200 O",
		"head without an end":    ok + fields,
	}
}

// Heads returns whole heads of responses by name, with fields, each ended by CRLF.
func Heads(fields string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + fields + "Content-Type: text/plain\r\n"
	return map[string]string{
		"with a length":          head + "Content-Length: 40\r\n\r\n",
		"in chunks":              head + "Transfer-Encoding: chunked\r\n\r\n",
		"without framing":        head + "\r\n",
		"HTTP/1.0":               strings.Replace(head, "1.1", "1.0", 1) + "\r\n",
		"line feeds only":        strings.ReplaceAll(head+"Content-Length: 40\r\n\r\n", "\r\n", "\n"),
		"after an informational": "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n",
		"status 404":             strings.Replace(head, "200", "404", 1) + "Content-Length: 40\r\n\r\n",
		"status 503":             strings.Replace(head, "200", "503", 1) + "Content-Length: 0\r\n\r\n",
	}
}

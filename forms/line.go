package forms

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
)

// maxLineBytes limits one line of a batch input file. It is the default limit of the body of
// an online request, 8 MB, plus room for the other fields of the line.
const maxLineBytes = 9 << 20

// Line is one line of a batch input file.
type Line struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// ParseLine parses one line of a batch input file for the endpoint path. The error is a
// *sardinerock.Refusal that contains number, the line's number from 1.
func ParseLine(raw []byte, path string, number int) (*Line, error) {
	var l Line
	if err := json.Unmarshal(raw, &l); err != nil {
		refusal := JSONFault(err)
		refusal.Message = lineMessage(number, refusal.Message)
		return nil, refusal
	}
	switch {
	case l.CustomID == "":
		return nil, lineFault(number, "custom_id", "custom_id is missing")
	case l.Method != http.MethodPost:
		return nil, lineFault(number, "method", "method must be POST")
	case l.URL != path:
		return nil, lineFault(number, "url", "url must be the job's endpoint "+path)
	case len(l.Body) == 0 || l.Body[0] != '{':
		return nil, lineFault(number, "body", "body must be a JSON object")
	}
	return &l, nil
}

func lineFault(number int, param, text string) *sardinerock.Refusal {
	return Refuse(sardinerock.CodeInvalidRequest, param, "%s", lineMessage(number, text))
}

func lineMessage(number int, text string) string {
	return Refuse("", "", "line %d of the input file: %s", number, text).Message
}

// EachLine calls yield for each line of a batch input file, in order. Empty lines are skipped
// but counted in number. It stops at the first invalid line, read error or error of yield.
func EachLine(content io.Reader, path string, yield func(number int, l *Line) error) error {
	scanner := bufio.NewScanner(content)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	number := 0
	for scanner.Scan() {
		number++
		raw := bytes.TrimSpace(scanner.Bytes())
		if len(raw) == 0 {
			continue
		}
		l, err := ParseLine(raw, path, number)
		if err != nil {
			return err
		}
		if err := yield(number, l); err != nil {
			return err
		}
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return lineFault(number+1, "body", "the line is too long")
	} else if err != nil {
		return ReadFault(err)
	}
	return nil
}

// Inspection is the result of Inspect.
type Inspection struct {
	Items int
	// Digest is the hex SHA-256 of path and content.
	Digest string
}

// Inspect checks a whole batch input file before any of it is accepted: an invalid line at
// the end of a file of 200,000 lines must not leave half a job behind. To find duplicates it
// keeps custom ids as 8-byte hashes, which takes a few megabytes for a file of that size.
// maxItems of 0 is no limit.
func Inspect(content io.Reader, path string, maxItems int) (Inspection, error) {
	var result Inspection
	digest := sha256.New()
	digest.Write([]byte(path + "\n"))
	seen := map[uint64]bool{}
	err := EachLine(io.TeeReader(content, digest), path, func(number int, l *Line) error {
		result.Items++
		if maxItems > 0 && result.Items > maxItems {
			return Refuse(sardinerock.CodeInvalidRequest, "input_file_id", "the file has over %d items, the most that the bundle allows", maxItems)
		}
		id := xxhash.Sum64String(l.CustomID)
		if seen[id] {
			return lineFault(number, "custom_id", "custom_id "+l.CustomID+" is there twice")
		}
		seen[id] = true
		return nil
	})
	if err != nil {
		return result, err
	}
	if result.Items == 0 {
		return result, Refuse(sardinerock.CodeInvalidRequest, "input_file_id", "the file has no items")
	}
	result.Digest = hex.EncodeToString(digest.Sum(nil))
	return result, nil
}

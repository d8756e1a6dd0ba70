package enginestream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cresspond/cresspond/request/dispatch"
	"github.com/cresspond/cresspond/wire/engineapi"
)

const pieces = `{"attempt":"x","n":0,"piece":"a"}
{"attempt":"x","n":1,"piece":"b"}
{"attempt":"x","n":2,"final":true,"pieces":2}
`

// answers are whole answers in each form that HTTP/1.1 gives them.
func answers() map[string]string {
	chunked := strings.Builder{}
	for line := range strings.Lines(pieces) {
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(line), line)
	}
	return map[string]string{
		"chunked":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked.String() + "0\r\n\r\n",
		"measured": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(pieces), pieces),
		// More is announced than the final line, so this one is never whole, least of all where it lacks only the rest.
		"padded":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s ", len(pieces)+1, pieces),
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 32\r\n\r\n{\"refused\":true,\"reason\":\"full\"}",
	}
}

// carry has an engine answer with these bytes and close, and gives what became of the go and what the caller got.
func carry(t *testing.T, raw string, reset bool) (Result, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = conn.Write([]byte(raw))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}()
	var got strings.Builder
	result := Run(context.Background(), Attempt{Address: listener.Addr().String(), Attempt: "x", Work: engineapi.Generate{Model: "m", Prompt: "p"},
		LastCheck: func() string { return "" }, Chunk: func(line []byte) bool { got.Write(line); return true },
		FirstByteTimeout: 20 * time.Second, StallTimeout: 20 * time.Second, Timeout: 30 * time.Second})
	return result, got.String()
}

// TestTruncatedAnswerNeverLooksComplete: the final line goes on only if the answer ended as it should, and
// only an engine's whole word is proof that it refused.
func TestTruncatedAnswerNeverLooksComplete(t *testing.T) {
	for form, whole := range answers() {
		for cut := range len(whole) + 1 {
			result, got := carry(t, whole[:cut], cut%3 == 0)
			name := fmt.Sprintf("%s cut at %d of %d", form, cut, len(whole))
			final := strings.Contains(got, `"final":true`)
			switch {
			case final != (result.Outcome == dispatch.Completed):
				t.Errorf("%s: outcome %d, final line %t", name, result.Outcome, final)
			case final && (cut < len(whole) || form == "padded"):
				t.Errorf("%s looks whole", name)
			case cut == len(whole) && form != "refusal" && form != "padded" && !final && cut%3 != 0:
				t.Errorf("%s: %d %s", name, result.Outcome, result.Reason)
			case result.Outcome == dispatch.EngineRefused && (form != "refusal" || cut < len(whole)):
				t.Errorf("%s was taken for a refusal", name)
			case cut == len(whole) && form == "refusal" && cut%3 != 0 && result.Outcome != dispatch.EngineRefused:
				t.Errorf("%s: %d %s", name, result.Outcome, result.Reason)
			case !strings.HasPrefix(pieces, got):
				t.Errorf("%s: the caller got %q", name, got)
			case result.Outcome == dispatch.NeverSent || result.Outcome == dispatch.Withdrawn:
				t.Errorf("%s: what was sent was called never sent", name)
			}
		}
	}
}

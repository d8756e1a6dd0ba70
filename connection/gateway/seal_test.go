package gateway

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/request/forwarding"
)

// TestSealMatchesEngineResponse: whatever engines do one after the other, an answer that bears the seal of
// one has the status that this one gave, and no other.
func TestSealMatchesEngineResponse(t *testing.T) {
	statuses := []string{"200 OK", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable", "504 Gateway Timeout"}
	ways := append(slices.Clone(statuses), "not run", "cut", "closed")
	for _, path := range []string{"once", "again", "stream", "resume"} {
		for _, first := range ways {
			for _, second := range ways {
				var mutex sync.Mutex
				var said []string
				turn := 0
				answer := func(id string) func(a arrival) bool {
					return func(a arrival) bool {
						mutex.Lock()
						way := []string{first, second, "closed"}[min(turn, 2)]
						turn++
						said = append(said, id+" "+way)
						mutex.Unlock()
						head := fmt.Sprintf("X-Attempt-Id: %s\r\nCresspond-Seal: %s\r\n", idOf(a), id)
						switch way {
						case "not run":
							writeText(a, "HTTP/1.1 503 Service Unavailable\r\n"+head+"Cresspond-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
							return true
						case "cut":
							writeText(a, "HTTP/1.1 500 Internal Server Error\r\n"+head+"Content-Length: 9\r\n\r\noh")
							return false
						case "closed":
							return false
						}
						writeText(a, "HTTP/1.1 "+way+"\r\n"+head+"Content-Length: 2\r\n\r\noh")
						return true
					}
				}
				var engines []*fakeEngine
				for _, id := range []string{"e1", "e2", "e3"} {
					engines = append(engines, newFakeEngine(t, ident.EngineID(id), answer(id)))
				}
				got := newFixture(t, engines...).call(ask(path, "a1", "ping"))
				seal := got.head.Get("Cresspond-Seal")
				mutex.Lock()
				if seal != "" && !slices.ContainsFunc(said, func(one string) bool {
					return one[:2] == seal && one[2:] != " not run" && one[2:] != " cut" && len(one) > 6 && one[3:6] == fmt.Sprint(got.status)
				}) {
					t.Errorf("%s, %v: %d under the seal of %s", path, said, got.status, seal)
				}
				if len(said) > 3 {
					t.Errorf("%s: %v", path, said)
				}
				mutex.Unlock()
				for _, engine := range engines {
					engine.listener.Close()
				}
			}
		}
	}
}

// TestResponseIsNotAwaitedLongPastDeadline: what is given past the deadline, for an engine's own last word, is
// well under the quarter of a second that a deployment may allow.
func TestResponseIsNotAwaitedLongPastDeadline(t *testing.T) {
	if slack := forwarding.DefaultSettings().DeadlineSlack; slack > 100*time.Millisecond {
		t.Error(slack)
	}
}

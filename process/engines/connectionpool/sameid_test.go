package connectionpool

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cresspond/cresspond/wire/dialect"
)

// Guards against TWICE and REFUSED: an engine's late second copy of a rejection, taken for the answer to the same request
// sent again, while the engine runs it.
func TestSurplusRejectionIsNotTakenForAnswerToSameRequestSentAgain(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "421 Misdirected Request", "429 Too Many Requests"} {
		for _, maxConnections := range []int{0, 1} {
			h := newFakeClock()
			pools := New(h, dialect.Own())
			rejection := rejectionResponse(status, "a")
			var runs atomic.Int64
			e := listen(t, func(conn net.Conn, id string, connection, number int) bool {
				if connection == 0 && number == 0 {
					writeText(conn, rejection)
					return true
				}
				if connection == 0 {
					// The surplus copy comes in the slot where the next answer is due.
					writeText(conn, rejection)
				}
				runs.Add(1)
				writeText(conn, sealedResponse(id, "ran"))
				return true
			})
			send := func() (Outcome, string) {
				a := attempt(h, e.address, "a")
				a.MaxConnections = maxConnections
				outcome, body, err := sendAndRead(pools, a)
				if err != nil {
					t.Fatal(err)
				}
				return outcome, body
			}
			if outcome, _ := send(); outcome != OutcomeRejected && outcome != OutcomeMisdirected {
				t.Fatalf("%s: %s", status, outcome)
			}
			if outcome, body := send(); outcome != OutcomeAnswered || body != "ran" {
				t.Errorf("%s: the attempt that ran ended as %s %q", status, outcome, body)
			}
			if ran := runs.Load(); ran != 1 {
				t.Errorf("%s: it ran %d times", status, ran)
			}
			if avoided := pools.Counters.SameIDAvoided.Load(); avoided != 1 {
				t.Errorf("%s: %d connections were avoided", status, avoided)
			}
		}
	}
}

// Guards against an id that is forgotten while its connection lives on: a surplus answer may come any number of requests
// later.
func TestNoIDIsSentTwiceOnOneConnection(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	var sent sync.Map
	e := listen(t, func(conn net.Conn, id string, connection, _ int) bool {
		if _, again := sent.LoadOrStore(fmt.Sprint(connection, " ", id), true); again {
			t.Errorf("%s came twice on connection %d", id, connection)
		}
		writeText(conn, rejectionResponse("503 Service Unavailable", id))
		return true
	})
	const requests = 2*maxRequestsPerConnection + 10
	for number := range requests {
		for _, id := range []string{fmt.Sprint("r", number), "always"} {
			if number%64 != 0 && id == "always" {
				continue
			}
			if outcome, _, _ := sendAndRead(pools, attempt(h, e.address, id)); outcome != OutcomeRejected {
				t.Fatalf("%s: %s", id, outcome)
			}
		}
	}
	ids, connections := e.seen()
	if longest := len(ids) / connections; longest > maxRequestsPerConnection {
		t.Errorf("%d requests over %d connections", len(ids), connections)
	}
	if _, idle := pools.Open(); idle == 0 {
		t.Error("no connection is kept")
	}
}

// Guards against connections for reports that are closed, or grow, for ids that are never sent again.
func TestIDsThatAreUniqueAreNotRemembered(t *testing.T) {
	h := newFakeClock()
	pools := New(h, dialect.Own())
	e := listen(t, func(conn net.Conn, id string, _, _ int) bool {
		writeText(conn, sealedResponse(id, "report"))
		return true
	})
	for number := range maxRequestsPerConnection + 10 {
		a := attempt(h, e.address, fmt.Sprint("report-", number))
		a.UniqueID = true
		if outcome, _, err := sendAndRead(pools, a); outcome != OutcomeAnswered || err != nil {
			t.Fatal(outcome, err)
		}
	}
	if _, connections := e.seen(); connections != 1 {
		t.Errorf("%d connections", connections)
	}
	for _, connections := range pools.engines {
		for _, conn := range connections.idle {
			if len(conn.sent) > 0 || !conn.used {
				t.Errorf("%d ids are kept", len(conn.sent))
			}
		}
	}
}

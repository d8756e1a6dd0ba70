package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/cresspond/cresspond/testbed/platformtest/history"
	"github.com/cresspond/cresspond/testbed/platformtest/protocol"
)

// stream answers a run of a model engine by events.
func (k *connection) stream(o *faultWriter, arrival *history.Arrival, job *Job, progress <-chan Progress, sign Progress, run string) bool {
	all := arrival.Prompt.Events(k.Config.Pace.Stride)
	if o.fault != nil && (o.fault.Kind == EngineError || o.fault.Kind == Malformed) {
		k.cancel(job)
		return k.send(o, arrival, run, max(500, o.fault.Status), []byte("a failure of the engine's own\n"))
	}
	stamp := protocol.Stamp{Engine: k.id, Attempt: arrival.AttemptID, Run: run, Status: http.StatusOK, Length: -1}
	upgrades := k.upgrades.Load()
	generation := k.generation(arrival.Prompt.Model)
	header := http.Header{protocol.Seal: {stamp.Write()}, "Content-Type": {"text/event-stream"}, protocol.WeightVersions: {strconv.FormatUint(generation, 10)}}
	if k.writeHeader(o, http.StatusOK, header, o.attemptHeader(arrival.AttemptID), -1) != nil {
		k.cancel(job)
		return k.callerLeft(arrival)
	}
	chunks := httputil.NewChunkedWriter(o)
	for {
		if sign.Event > 0 {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", sign.Event, protocol.EventData(arrival.AttemptID, run, sign.Event, all))
			if now := k.upgrades.Load(); now != upgrades {
				// An event at which the version changes says so in its first line.
				upgrades = now
				if newer := k.generation(arrival.Prompt.Model); newer != generation {
					generation = newer
					event = fmt.Sprintf("%s: %d\n%s", strings.ToLower(protocol.WeightVersions), generation, event)
				}
			}
			k.Recorder.Record(func(*history.History) { arrival.Events = sign.Event })
			if _, err := io.WriteString(chunks, event); err != nil {
				k.cancel(job)
				return k.callerLeft(arrival)
			}
		}
		if sign.Last {
			break
		}
		if sign.Expired {
			// It stops at the deadline handed to it, in the middle.
			k.Recorder.Record(func(*history.History) { arrival.Ended, arrival.Broken = k.Recorder.Now(), true })
			return false
		}
		var ok bool
		if sign, ok = k.next(job, progress); !ok {
			return k.callerLeft(arrival)
		}
	}
	if err := chunks.Close(); err != nil {
		return k.callerLeft(arrival)
	}
	if _, err := io.WriteString(o, "\r\n"); err != nil {
		return k.callerLeft(arrival)
	}
	k.Recorder.Record(func(*history.History) { arrival.Ended, arrival.Complete = k.Recorder.Now(), !arrival.Broken })
	if o.fault != nil && (o.fault.Kind == ExtraAnswer || o.fault.Kind == LateExtraAnswer) {
		more := []byte("HTTP/1.1 200 OK\r\n" + protocol.Attempt + ": 5a" + arrival.AttemptID + "\r\n" + protocol.Seal + ": " + stamp.Write() + "\r\nContent-Length: 2\r\n\r\nok")
		if o.fault.Kind == ExtraAnswer {
			_, _ = k.conn.Write(more)
		} else {
			k.lateAnswer = more
		}
	}
	return true
}

// generation gives the version of what is held of a model.
func (l *incarnation) generation(model string) (generation uint64) {
	l.do(func() {
		if holding := l.holdings.Holding(model); holding != nil {
			generation = holding.Generation
		}
	})
	return generation
}

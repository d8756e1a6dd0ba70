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

// stream answers a model request by events.
func (c *connection) stream(o *faultWriter, arrival *history.Arrival, job *Job, progress <-chan Progress, sign Progress, run string) bool {
	all := arrival.Prompt.Events(c.Config.Pace.Stride)
	if o.fault != nil && (o.fault.Kind == EngineError || o.fault.Kind == Malformed) {
		c.cancel(job)
		return c.send(o, arrival, run, max(500, o.fault.Status), []byte("a failure of the engine's own\n"))
	}
	stamp := protocol.Stamp{Engine: c.id, Attempt: arrival.AttemptID, Run: run, Status: http.StatusOK, Length: -1}
	upgrades := c.upgrades.Load()
	generation := c.generation(arrival.Prompt.Model)
	header := http.Header{protocol.Seal: {stamp.Write()}, "Content-Type": {"text/event-stream"}, protocol.WeightVersions: {strconv.FormatUint(generation, 10)}}
	if c.writeHeader(o, http.StatusOK, header, o.attemptHeader(arrival.AttemptID), -1) != nil {
		c.cancel(job)
		return c.callerLeft(arrival)
	}
	chunks := httputil.NewChunkedWriter(o)
	for {
		if sign.Event > 0 {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", sign.Event, protocol.EventData(arrival.AttemptID, run, sign.Event, all))
			if now := c.upgrades.Load(); now != upgrades {
				// The first event with another version of the weights names it in its first line.
				upgrades = now
				if newer := c.generation(arrival.Prompt.Model); newer != generation {
					generation = newer
					event = fmt.Sprintf("%s: %d\n%s", strings.ToLower(protocol.WeightVersions), generation, event)
				}
			}
			c.Recorder.Record(func(*history.History) { arrival.Events = sign.Event })
			if _, err := io.WriteString(chunks, event); err != nil {
				c.cancel(job)
				return c.callerLeft(arrival)
			}
		}
		if sign.Last {
			break
		}
		if sign.Expired {
			// At its deadline the stream stops in the middle.
			c.Recorder.Record(func(*history.History) { arrival.Ended, arrival.Broken = c.Recorder.Now(), true })
			return false
		}
		var ok bool
		if sign, ok = c.next(job, progress); !ok {
			return c.callerLeft(arrival)
		}
	}
	if err := chunks.Close(); err != nil {
		return c.callerLeft(arrival)
	}
	if _, err := io.WriteString(o, "\r\n"); err != nil {
		return c.callerLeft(arrival)
	}
	c.Recorder.Record(func(*history.History) { arrival.Ended, arrival.Complete = c.Recorder.Now(), !arrival.Broken })
	if o.fault != nil && (o.fault.Kind == ExtraAnswer || o.fault.Kind == LateExtraAnswer) {
		more := []byte("HTTP/1.1 200 OK\r\n" + protocol.Attempt + ": 5a" + arrival.AttemptID + "\r\n" + protocol.Seal + ": " + stamp.Write() + "\r\nContent-Length: 2\r\n\r\nok")
		if o.fault.Kind == ExtraAnswer {
			_, _ = c.conn.Write(more)
		} else {
			c.lateAnswer = more
		}
	}
	return true
}

// generation is the version of a loaded model's weights; zero if it is not loaded.
func (inc *incarnation) generation(model string) (generation uint64) {
	inc.do(func() {
		if holding := inc.holdings.Holding(model); holding != nil {
			generation = holding.Generation
		}
	})
	return generation
}

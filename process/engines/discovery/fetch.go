package discovery

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/wire/engineapi"
)

const (
	requestTimeout = 800 * time.Millisecond
	// maxReportBytes bounds what is read of a body.
	maxReportBytes = 1 << 20
)

// errInvalid says that an answer came, and its body can't be understood.
var errInvalid = errors.New("invalid body")

// fetch sends a GET request once and decodes the JSON body. The connection is kept only if exactly one whole answer came
// on it. The request has an id; an answer with another id is not taken. The error is errInvalid for a body that can't be
// decoded.
func (w *Watcher) fetch(id ident.EngineID, address, path string, into any) error {
	requestID := "report-" + strconv.FormatUint(w.requests.Add(1), 16)
	head := &fasthttp.RequestHeader{}
	head.SetMethod(fasthttp.MethodGet)
	head.SetRequestURI(path)
	head.SetHost(address)
	head.Set(engineapi.HeaderAttempt, requestID)
	response := w.connections.Send(connectionpool.Attempt{Engine: id, Address: address, ID: requestID, UniqueID: true, Header: head, PrepareHeader: func() {}, CheckBeforeSend: func() string { return "" },
		Deadline: w.clock.Elapsed() + clock.Mark(requestTimeout), Cancel: &connectionpool.Canceller{}, MissingID: connectionpool.AllowMissingIDOnIdle})
	if response.Outcome != connectionpool.OutcomeAnswered {
		return eris.Errorf("no answer: %s: %s", response.Outcome, response.Reason)
	}
	defer response.Close()
	if status := response.Response().StatusCode(); status != fasthttp.StatusOK {
		return eris.Errorf("status %d", status)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil {
		return eris.Wrap(err, "the body broke off")
	}
	if err := json.Unmarshal(body, into); err != nil {
		return eris.Wrap(errInvalid, err.Error())
	}
	return nil
}

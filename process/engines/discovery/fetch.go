package discovery

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/connectionpool"
	"github.com/cresspond/cresspond/wire/engineapi"
)

// junk is an answer that came but can't be understood.
type invalidBody struct{ error }

func plausible(report engineapi.Report) bool {
	seen := map[string]bool{}
	for _, loaded := range report.Models {
		known := loaded.State == engineapi.Loading || loaded.State == engineapi.Loaded || loaded.State == engineapi.Unloading
		if loaded.Model == "" || seen[loaded.Model] || !known {
			return false
		}
		seen[loaded.Model] = true
	}
	return report.Busy >= 0
}

// get asks once, over a connection that is kept only if all of an answer and nothing more came on it. The question
// bears an id; an answer that bears another is not taken.
func (w *Watcher) fetch(id ident.EngineID, address, path string, into any) error {
	head := &fasthttp.RequestHeader{}
	head.SetMethod(fasthttp.MethodGet)
	head.SetRequestURI(path)
	head.SetHost(address)
	requestID := "report-" + strconv.FormatUint(w.requests.Add(1), 16)
	head.Set(engineapi.HeaderAttempt, requestID)
	response := w.reports.Send(connectionpool.Attempt{Engine: id, Address: address, ID: requestID, Head: head, Dress: func() {}, LastLook: func() string { return "" },
		Until: w.clock.Elapsed() + clock.Mark(requestTimeout), Cancel: &connectionpool.Cancel{}, Unnamed: connectionpool.UnnamedOnClean})
	if response.Outcome != connectionpool.Answered {
		return fmt.Errorf("%s: %s", response.Outcome, response.Reason)
	}
	defer response.Close()
	if status := response.Response().StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxReportBytes))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return invalidBody{err}
	}
	return nil
}

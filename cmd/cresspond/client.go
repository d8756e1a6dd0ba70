package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// tool asks daemons, one after the other, until one gives a known outcome.
type tool struct {
	daemons []string
	client  *http.Client
	asJSON  bool
	// callID is the id of the call, the same at each daemon and in each round.
	callID string
	// patience is for how long all daemons are asked again and again while none knows the outcome; zero is once.
	patience time.Duration
	// notEverywhere says that the answer was no acknowledgement.
	notEverywhere bool
	// seen, where set, is shown the head of an answer.
	seen func(http.Header)
}

// newClient makes the client of daemons. It uses no connection twice, so that the library has no reason to send
// anything again by itself, and follows no redirect, which would turn one call into another.
func newClient() *http.Client {
	return &http.Client{
		Timeout: askLimit,
		Transport: &http.Transport{
			Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

var errNoLength = errors.New("it does not say where it ends")

// unknownOutcome is the answer of a daemon that can't tell what became of a call: it is cut off, or the control group has
// no leader. The same call may be made again, since all are known by their ids and bases.
type unknownOutcome struct{ reason error }

func (e unknownOutcome) Error() string { return e.reason.Error() }

// ask makes a call until a daemon gives an outcome, or until none has for as long as patience lasts: while a leader is
// elected, each of them answers within a second that it can't tell.
func (t *tool) ask(method, path string, body []byte) ([]byte, error) {
	until := time.Now().Add(t.patience)
	for {
		data, err := t.askEach(method, path, body)
		var unknown unknownOutcome
		if !errors.As(err, &unknown) || time.Now().After(until) {
			return data, err
		}
		time.Sleep(roundPause)
	}
}

// askEach goes from daemon to daemon until one gives an outcome. It fails with unknownOutcome where one of them answered
// that it can't tell, and none gave an outcome.
func (t *tool) askEach(method, path string, body []byte) ([]byte, error) {
	last := fmt.Errorf("no daemon was named")
	var unknown error
	for _, daemon := range t.daemons {
		request, err := http.NewRequest(method, "http://"+daemon+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(operatorapi.HeaderCallID, t.callID)
		response, err := t.client.Do(request)
		if err != nil {
			last = fmt.Errorf("%s cannot be reached: %w", daemon, err)
			continue
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			// It ends wherever its connection does, so a part of it would look whole.
			err = errNoLength
		}
		if err != nil {
			last = fmt.Errorf("%s broke off its answer: %w", daemon, err)
			continue
		}
		if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusAccepted {
			t.notEverywhere = response.StatusCode == http.StatusAccepted
			if t.seen != nil {
				t.seen(response.Header)
			}
			return data, nil
		}
		last = explain(daemon, response.StatusCode, data)
		// Only an unknown outcome is worth asking another daemon.
		if response.StatusCode != http.StatusServiceUnavailable {
			return nil, last
		}
		unknown = unknownOutcome{last}
	}
	if unknown != nil {
		return nil, unknown
	}
	return nil, last
}

// explain puts an error's body into words, with every fault on its own line.
func explain(daemon string, status int, data []byte) error {
	var failure operatorapi.Error
	if json.Unmarshal(data, &failure) != nil {
		return fmt.Errorf("%s answered with status %d", daemon, status)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %s", failure.Outcome, failure.Reason)
	if failure.Field != "" {
		fmt.Fprintf(&out, " (%s)", failure.Field)
	}
	if failure.Winner != "" {
		fmt.Fprintf(&out, "; %s won", failure.Winner)
	}
	if failure.Closures != nil {
		fmt.Fprintf(&out, "; closures are at epoch %d", failure.Closures.Version)
	}
	if failure.Version > 0 && failure.Closures == nil {
		fmt.Fprintf(&out, "; epoch %d is in force", failure.Version)
	}
	if failure.Revision > 0 {
		fmt.Fprintf(&out, ", as revision %d", failure.Revision)
	}
	for _, fault := range failure.Faults {
		fmt.Fprintf(&out, "\n  %s", fault)
	}
	return fmt.Errorf("%s", out.String())
}

func (t *tool) page(path string, show func([]byte) error) error {
	var leader string
	t.seen = func(header http.Header) { leader = header.Get(operatorapi.HeaderReadFrom) }
	data, err := t.ask(http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if leader != "" {
		// Beside the page, which may be read by a program.
		fmt.Fprintf(os.Stderr, "as the leader of the control group at %s knows it, confirmed by a majority when it was asked\n", leader)
	}
	if t.asJSON {
		return showIndented(data)
	}
	return show(data)
}

// showAsIs prints a page byte for byte.
func showAsIs(data []byte) error {
	_, err := os.Stdout.Write(data)
	return err
}

func showIndented(data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

func (t *tool) propose(file string, proposal operatorapi.Propose) error {
	raw, err := readFile(file)
	if err != nil {
		return err
	}
	if !json.Valid(raw) {
		return fmt.Errorf("%s is not JSON", file)
	}
	proposal.Configuration = raw
	body, err := proposal.Encode()
	if err != nil {
		return err
	}
	return t.postRaw(operatorapi.PathPropose, body)
}

func (t *tool) post(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return t.postRaw(path, data)
}

func (t *tool) postRaw(path string, body []byte) error {
	data, err := t.ask(http.MethodPost, path, body)
	if err != nil {
		return err
	}
	if t.asJSON {
		return showIndented(data)
	}
	var answer rollout.Response
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	showAnswer(answer)
	return nil
}

// showAnswer prints what a change of an operator came to.
func showAnswer(answer rollout.Response) {
	if proposal := answer.Proposal; proposal != nil {
		fmt.Printf("%s is %s", proposal.ID, proposal.Stage)
		if proposal.Version > 0 {
			fmt.Printf(" as epoch %d", proposal.Version)
		}
		fmt.Println()
	}
	if answer.Closures != nil {
		fmt.Printf("closures are at epoch %d: %d zones closed, %d engines draining\n", answer.Closures.Version, len(answer.Closures.Zones), len(answer.Closures.Engines))
	}
	switch {
	case answer.Acknowledged:
		fmt.Printf("acknowledged: in force at all %d daemons\n", len(answer.InForceAt))
	case len(answer.Missing) > 0:
		fmt.Printf("committed, and NOT yet in force everywhere: at %d daemons, lacking at\n", len(answer.InForceAt))
		for _, node := range answer.Missing {
			fmt.Printf("  %s\n", node)
		}
		fmt.Println("give the same command again to see whether it has got there; a daemon that is gone for good: daemon lost NAME")
	}
}

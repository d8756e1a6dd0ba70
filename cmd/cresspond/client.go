package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cresspond/cresspond/process/rollout"
	"github.com/cresspond/cresspond/wire/operatorapi"
)

// tool asks daemons, one after the other, until one gives a known outcome.
type tool struct {
	daemons []string
	client  *http.Client
	asJSON  bool
	// notEverywhere says that the answer was no acknowledgement.
	notEverywhere bool
	// seen, where set, is shown the head of an answer.
	seen func(http.Header)
}

// newClient makes the client of daemons. It uses no connection twice, so that the library has no reason to send
// anything again by itself, and follows no redirect, which would turn one call into another.
func newClient() *http.Client {
	return &http.Client{
		Timeout:       askLimit,
		Transport:     &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

var errNoLength = errors.New("it does not say where it ends")

// ask goes from daemon to daemon until one gives an outcome; all acts may be asked again.
func (t *tool) ask(method, path string, body []byte) ([]byte, error) {
	last := fmt.Errorf("no daemon was named")
	for _, daemon := range t.daemons {
		request, err := http.NewRequest(method, "http://"+daemon+path, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set("Content-Type", "application/json")
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
	data, err := t.ask(http.MethodGet, path, nil)
	if err != nil {
		return err
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

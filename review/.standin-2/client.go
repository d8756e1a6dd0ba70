package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// attempt is one request of a client, and what came back.
type attempt struct {
	id, machine, path string
	deadline          time.Duration
	sent, ended       time.Time
	status            int
	bytes             int
	// whole reports a complete answer; fault is what broke it off, or kept it from coming.
	whole bool
	fault string
}

// clients send requests to edge machines, and keep their connections.
type clients struct {
	platform *platform
	mutex    sync.Mutex
	attempts []*attempt
	next     int
	open     sync.WaitGroup
	byEdge   map[string]*http.Client
}

func newClients(p *platform) *clients {
	c := &clients{platform: p, byEdge: map[string]*http.Client{}}
	for _, m := range p.of("edge") {
		c.byEdge[m.name] = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	}
	return c
}

// send makes one request and waits for its end.
func (c *clients) send(m *machine, host, path string, deadline time.Duration) *attempt {
	c.mutex.Lock()
	c.next++
	a := &attempt{id: fmt.Sprintf("9c41d07b%08x", c.next), machine: m.name, path: path, deadline: deadline, sent: time.Now()}
	c.attempts = append(c.attempts, a)
	c.mutex.Unlock()
	defer func() { a.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, c.platform.front, path), bytes.NewReader(bytes.Repeat([]byte("b"), 600)))
	if err != nil {
		a.fault = err.Error()
		return a
	}
	// A request that met the end of a kept connection is not sent again here: each is a single try.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.byEdge[m.name].Do(request)
	if err != nil {
		a.fault = err.Error()
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	read, err := io.Copy(io.Discard, response.Body)
	a.bytes = int(read)
	if err != nil {
		a.fault = err.Error()
		return a
	}
	a.whole = true
	return a
}

// sendAsync makes one request on a goroutine of its own.
func (c *clients) sendAsync(m *machine, host, path string, deadline time.Duration) {
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		c.send(m, host, path, deadline)
	}()
}

// traffic sends streams and plain requests to all edge machines at a steady rate, until ctx ends.
func (c *clients) traffic(ctx context.Context, host, streamPath, plainPath string, each time.Duration) {
	ticker := time.NewTicker(each)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range c.platform.of("edge") {
			if n%2 == 0 {
				c.sendAsync(m, host, streamPath, 15*time.Second)
			} else {
				c.sendAsync(m, host, plainPath, 4*time.Second)
			}
		}
	}
}

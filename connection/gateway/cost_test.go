package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/cresspond/cresspond/ident"
	"github.com/cresspond/cresspond/process/engines/nodehealth"
	"github.com/cresspond/cresspond/process/engines/registry"
)

// plainEngine answers each request with the same bytes and without allocating, so that what is measured is
// the gateway's. A request ends with its last byte.
func plainEngine(b *testing.B, last byte, answers ...string) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	raw := make([][]byte, 0, len(answers))
	for _, answer := range answers {
		raw = append(raw, []byte(answer))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 64<<10)
				for {
					n, err := conn.Read(buffer)
					if err != nil {
						return
					}
					if buffer[n-1] != last {
						continue
					}
					for _, answer := range raw {
						if _, err := conn.Write(answer); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	return listener
}

func registerAt(f *fixture, listeners ...net.Listener) {
	view := &registry.View{Engines: map[ident.EngineID]*registry.Engine{}, Pools: map[string][]*registry.Engine{}}
	for n, listener := range listeners {
		engine := &registry.Engine{Registration: registry.Registration{ID: ident.EngineID(fmt.Sprint("e", n)), Pool: "p", Address: listener.Addr().String(), Slots: 64}}
		view.Engines[engine.ID] = engine
		view.Pools["p"] = append(view.Pools["p"], engine)
	}
	f.view.Store(view)
}

// BenchmarkBufferedResponse is one request and its whole answer over kept connections.
func BenchmarkBufferedResponse(b *testing.B) {
	body := strings.Repeat("x", 800)
	listener := plainEngine(b, '!', completeText("a1", body))
	f := newFixture(b)
	registerAt(f, listener)
	conn := f.dial()
	request := []byte(ask("again", "a1", strings.Repeat("y", 599)+"!", "X-Some: 1", "User-Agent: u", "Accept: */*"))
	buffer := make([]byte, 64<<10)
	if _, err := conn.Write(request); err != nil {
		b.Fatal(err)
	}
	length, err := conn.Read(buffer)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, buffer[:length]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStream is one request of a model's kind, and its events as they come, each in a write of its own.
func BenchmarkStream(b *testing.B) {
	for _, count := range []int{1, 60} {
		b.Run(fmt.Sprint(count), func(b *testing.B) { streamOf(b, count, nil) })
	}
}

// BenchmarkStreamMeasured is the same with the engine's node measured.
func BenchmarkStreamMeasured(b *testing.B) {
	streamOf(b, 60, nodehealth.NewRecorder())
}

func streamOf(b *testing.B, count int, recorder *nodehealth.Recorder) {
	answers := []string{"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nCresspond-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"}
	for n := 1; n <= count; n++ {
		piece := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 45))
		answers = append(answers, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
	}
	answers = append(answers, lastChunk)
	listener := plainEngine(b, '!', answers...)
	f := newFixture(b)
	f.gateway.Recorder = recorder
	registerAt(f, listener)
	conn := f.dial()
	request := []byte(ask("resume", "a1", strings.Repeat("y", 4699)+"!", "Cresspond-Model: m", "Cresspond-Tokens: 2368,80", "Cresspond-Parts: 5c1e07a2:341,91bd3f06:227,e4402b7d:1800"))
	buffer := make([]byte, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				b.Fatal(err)
			}
			if bytes.HasSuffix(buffer[:n], []byte(lastChunk)) {
				break
			}
		}
	}
}

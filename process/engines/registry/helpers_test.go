package registry

import (
	"time"

	"github.com/cresspond/cresspond/clock"
	"github.com/cresspond/cresspond/ident"
)

const second = clock.Mark(time.Second)

var connected = func(now clock.Mark) Connectivity { return Connectivity{CanDetectTimeouts: true, Horizon: now} }

func testRegistration(id string, callSeq uint64) Registration {
	return Registration{ID: ident.EngineID(id), Pool: "p", Address: "10.0.0.1:" + id[1:], Zone: "z", Slots: 4, CallSeq: callSeq,
		Models: []LoadedModel{{Model: "m", Generation: 1, Adapters: []string{"a1"}}}}
}

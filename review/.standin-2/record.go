package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run, with the time since the case began.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) say(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// since is a moment in the record's time, in seconds.
func (r *record) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

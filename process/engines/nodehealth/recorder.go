package nodehealth

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cresspond/cresspond/ident"
)

// Recorder holds what a daemon measures of engines until it is reported. It may be used by several goroutines at once.
type Recorder struct {
	mutex    sync.Mutex
	cells    map[cellKey]*Cell
	maxCells int
	// dropped counts measurements dropped at the limit of cells.
	dropped uint64
}

type cellKey struct {
	engine ident.EngineID
	class  Class
}

// Cell records one engine at one class of work. A nil cell records nothing.
type Cell struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	targetMs  int64
	// idle counts the reports since it last had a measurement.
	idle int
}

const (
	// maxCells bounds a recorder's memory: 1.5 kB each.
	maxCells = 2000
	// maxIdleTakes is for how many reports a cell without measurements is kept.
	maxIdleTakes = 10
)

// NewRecorder makes an empty recorder.
func NewRecorder() *Recorder { return &Recorder{cells: map[cellKey]*Cell{}, maxCells: maxCells} }

// Cell gives the cell of an engine at a class of work; nil at the limit of cells.
func (r *Recorder) Cell(engine ident.EngineID, class Class) *Cell {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := cellKey{engine, class}
	cell := r.cells[key]
	switch {
	case cell != nil:
		cell.idle = 0
	case len(r.cells) >= r.maxCells:
		r.dropped++
		return nil
	default:
		cell = &Cell{histogram: newHistogram(), targetMs: class.TargetMs}
		r.cells[key] = cell
	}
	return cell
}

// RecordPause records the time between two events of a stream.
func (c *Cell) RecordPause(pause time.Duration) {
	if c != nil {
		c.record(stallValue(pause, c.targetMs))
	}
}

// RecordDelay records the time that a first byte or a connection took.
func (c *Cell) RecordDelay(delay time.Duration) {
	if c != nil {
		c.record(clamp(delay.Milliseconds()))
	}
}

func (c *Cell) record(value int64) {
	c.mutex.Lock()
	// A value within the bounds is always accepted.
	_ = c.histogram.RecordValue(value)
	c.mutex.Unlock()
}

// take empties a cell.
func (c *Cell) take() []Bucket {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.histogram.TotalCount() == 0 {
		return nil
	}
	var out []Bucket
	for _, bar := range c.histogram.Distribution() {
		if bar.Count > 0 {
			out = append(out, Bucket{Value: uint32(bar.To), Count: uint32(bar.Count)})
		}
	}
	c.histogram.Reset()
	return out
}

// TakeDigests gives what was measured since the last call, and clears it.
func (r *Recorder) TakeDigests() []Digest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var out []Digest
	for key, cell := range r.cells {
		buckets := cell.take()
		if buckets == nil {
			if cell.idle++; cell.idle > maxIdleTakes {
				// What a stream still records into it is lost; a stream idle for so long has nothing to record.
				delete(r.cells, key)
			}
			continue
		}
		cell.idle = 0
		out = append(out, Digest{Engine: key.engine, Class: key.class, Buckets: buckets})
	}
	slices.SortFunc(out, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), compareClasses(a.Class, b.Class))
	})
	return out
}

// Dropped counts the measurements dropped at the limit of cells.
func (r *Recorder) Dropped() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.dropped
}

func compareClasses(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Model, b.Model), cmp.Compare(a.TargetMs, b.TargetMs),
		cmp.Compare(a.Load, b.Load), cmp.Compare(a.Size, b.Size))
}

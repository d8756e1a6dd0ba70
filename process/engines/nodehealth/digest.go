package nodehealth

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cresspond/cresspond/ident"
)

// Kind is what a digest measures.
type Kind uint8

const (
	// Stall is a pause between two events of a stream, in thousandths of the path's gap target.
	Stall Kind = iota
	// Transfer is the time from right before an attempt is sent to its first byte, in milliseconds.
	Transfer
	// Connect is the time to open a new connection, in milliseconds.
	Connect
	kinds
)

func (k Kind) String() string { return [...]string{"stall", "transfer", "connect"}[k] }

// Class is a class of work; measurements of one class, or of neighbouring ones, are comparable.
type Class struct {
	Kind  Kind
	Pool  string
	Model string
	// TargetMs is the path's gap target; zero is none.
	TargetMs int64
	// Load and Size are powers of two: how many requests ran and waited there, and how many prompt tokens had to be
	// processed.
	Load, Size uint8
}

// LoadBand is the band, a power of two, of a number of requests.
func LoadBand(requests int) uint8 { return uint8(bits.Len(uint(max(0, requests)))) }

// sizeBandUnit is the least number of tokens that makes a difference.
const sizeBandUnit = 128

// SizeBand is the band, a power of two, of a number of prompt tokens.
func SizeBand(tokens int) uint8 { return uint8(bits.Len(uint(max(0, tokens) / sizeBandUnit))) }

// Bucket counts measured values that are equal within the histogram's precision.
type Bucket struct {
	Value uint32
	Count uint32
}

// Digest is what one daemon measured of one engine at one class of work since its last report.
type Digest struct {
	Engine  ident.EngineID
	Class   Class
	Buckets []Bucket
}

// Samples counts a digest's measurements.
func (d Digest) Samples() int {
	total := 0
	for _, bucket := range d.Buckets {
		total += int(bucket.Count)
	}
	return total
}

const (
	minValue = 1
	maxValue = 60_000
	// digits is the precision of a value in decimal digits: steps of at most a sixteenth.
	digits = 1
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minValue, maxValue, digits) }

// clamp brings a value into the range of a histogram.
func clamp(value int64) int64 { return min(max(value, minValue), maxValue) }

// defaultTarget is the gap target of paths that have none.
const defaultTarget = time.Second

// stallValue is a pause in thousandths of the gap target.
func stallValue(pause time.Duration, targetMs int64) int64 {
	target := time.Duration(targetMs) * time.Millisecond
	if target <= 0 {
		target = defaultTarget
	}
	return clamp(int64(pause * 1000 / target))
}

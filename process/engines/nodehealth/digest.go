// Package nodehealth orders engines by how their nodes behave: by the pauses between the events of their streams and
// by how late their first bytes come, each against engines of the same pool with like work. From that it decides
// which engine is drained, which may be tried again, and what must be loaded elsewhere first. What goes in says
// nothing of routes, houses or worth, so the order can't follow them.
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
	// Stall is a pause between two events of a stream, in thousandths of the longest pause that is aimed at.
	Stall Kind = iota
	// Transfer is the time from an attempt's last look to its first byte, in milliseconds.
	Transfer
	// Connect is the time that a new connection took, in milliseconds.
	Connect
	kinds
)

func (k Kind) String() string { return [...]string{"stall", "transfer", "connect"}[k] }

// Class is like work: what may be compared.
type Class struct {
	Kind  Kind
	Pool  string
	Model string
	// TargetMs is the longest pause aimed at; zero where none is.
	TargetMs int64
	// Load and Size are powers of two: how many requests ran and waited there, and how many tokens had to be read
	// first.
	Load, Size uint8
}

// LoadBand is the power of two that stands for so many requests.
func LoadBand(requests int) uint8 { return uint8(bits.Len(uint(max(0, requests)))) }

// tokensApart is the least number of tokens that makes a difference.
const sizeBandUnit = 128

// SizeBand is the power of two that stands for so many tokens to be read.
func SizeBand(tokens int) uint8 { return uint8(bits.Len(uint(max(0, tokens) / sizeBandUnit))) }

// Bucket counts measured values that are as good as equal.
type Bucket struct {
	Value uint32
	Count uint32
}

// Digest is what one daemon measured of one engine at one class of work since it last told.
type Digest struct {
	Engine  ident.EngineID
	Class   Class
	Buckets []Bucket
}

// Samples counts what a digest holds.
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
	// digits of a value are kept, in base ten: steps of at most a sixteenth.
	digits = 1
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(minValue, maxValue, digits) }

// clamp keeps a value within what a histogram takes.
func clamp(value int64) int64 { return min(max(value, minValue), maxValue) }

// noTarget stands in for the longest pause aimed at where none is.
const defaultTarget = time.Second

// stallValue is a pause in thousandths of the longest one aimed at.
func stallValue(pause time.Duration, targetMs int64) int64 {
	target := time.Duration(targetMs) * time.Millisecond
	if target <= 0 {
		target = defaultTarget
	}
	return clamp(int64(pause * 1000 / target))
}

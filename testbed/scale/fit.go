package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Term is one thing that a cost may grow with.
type Term struct {
	Name string
	Of   func(Size) float64
}

// The terms.
var (
	Constant         = Term{"each", func(Size) float64 { return 1 }}
	PerDaemon        = Term{"per daemon", func(s Size) float64 { return float64(s.Daemons) }}
	PerEngine        = Term{"per engine", func(s Size) float64 { return float64(s.Engines) }}
	PerDaemonEngine  = Term{"per daemon and engine", func(s Size) float64 { return float64(s.Daemons) * float64(s.Engines) }}
	PerDaemonSquared = Term{"per daemon squared", func(s Size) float64 { return float64(s.Daemons) * float64(s.Daemons) }}
	PerPath          = Term{"per path", func(s Size) float64 { return float64(s.Paths) }}
	PerDaemonPath    = Term{"per daemon and path", func(s Size) float64 { return float64(s.Daemons) * float64(s.Paths) }}
)

// Point is one measured value.
type Point struct {
	Size  Size
	Value float64
}

// Fit is a plane of least squares through points.
type Fit struct {
	Terms []Term
	// Slopes has one number for each term, Errors their standard errors.
	Slopes, Errors []float64
	// Residual is the standard deviation of what is left, Explained the share of the variance that is explained.
	Residual, Explained float64
	Points              int
	covariance          *mat.Dense
}

// mostCondition is how near each other terms may be for points to tell them apart; beyond it rounding makes up slopes.
const mostCondition = 1e12

// Draw fits the terms to the points. There must be more points than terms, and they must tell the terms apart.
func Draw(points []Point, terms ...Term) (Fit, error) {
	n, k := len(points), len(terms)
	if n <= k {
		return Fit{}, fmt.Errorf("%d points do not tell of %d slopes", n, k)
	}
	x, y := mat.NewDense(n, k, nil), mat.NewVecDense(n, nil)
	mean := 0.0
	for i, point := range points {
		for j, term := range terms {
			x.Set(i, j, term.Of(point.Size))
		}
		y.SetVec(i, point.Value)
		mean += point.Value / float64(n)
	}
	var qr mat.QR
	qr.Factorize(x)
	if cond := qr.Cond(); cond > mostCondition || math.IsNaN(cond) {
		return Fit{}, fmt.Errorf("the points do not tell the slopes apart")
	}
	var slopes mat.VecDense
	if err := qr.SolveVecTo(&slopes, false, y); err != nil {
		if _, ill := err.(mat.Condition); !ill {
			return Fit{}, err
		}
	}
	fit := Fit{Terms: terms, Points: n}
	var left, all float64
	for i, point := range points {
		row := mat.Row(nil, i, x)
		guess := 0.0
		for j := range terms {
			guess += row[j] * slopes.AtVec(j)
		}
		left += (point.Value - guess) * (point.Value - guess)
		all += (point.Value - mean) * (point.Value - mean)
	}
	variance := left / float64(n-k)
	var normal, inverse mat.Dense
	normal.Mul(x.T(), x)
	if err := inverse.Inverse(&normal); err != nil {
		if _, ill := err.(mat.Condition); !ill {
			return Fit{}, err
		}
	}
	inverse.Scale(variance, &inverse)
	fit.covariance, fit.Residual = &inverse, math.Sqrt(variance)
	if all > 0 {
		fit.Explained = 1 - left/all
	}
	for j := range terms {
		fit.Slopes = append(fit.Slopes, slopes.AtVec(j))
		fit.Errors = append(fit.Errors, math.Sqrt(max(0, inverse.At(j, j))))
	}
	return fit, nil
}

// At is what the fit says of a size, and half the width of the interval that holds its mean 19 times in 20.
func (f Fit) At(size Size) (value, within float64) {
	row := make([]float64, len(f.Terms))
	for j, term := range f.Terms {
		row[j] = term.Of(size)
		value += row[j] * f.Slopes[j]
	}
	vector := mat.NewVecDense(len(row), row)
	spread := mat.Inner(vector, f.covariance, vector)
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(f.Points - len(f.Terms))}
	return value, student.Quantile(0.975) * math.Sqrt(max(0, spread))
}

package scaletest

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a figure's growth over a ladder of sizes, by least squares.
type Line struct {
	Points           int
	From, To         float64 // range of x
	Intercept, Slope float64
	R2               float64
	Residual         float64 // the largest distance of a point from the line, in parts of the largest value
	Power            float64 // exponent of the power law that fits best; 0 where there is none
	Bent             bool    // the power law fits far better than the line
}

// What still counts as a line.
const (
	leastSizes   = 4
	leastR2      = 0.95
	mostResidual = 0.20
	// farBetter is the part of the line's squared error below which the power law's is far better.
	farBetter = 0.25
)

// fitLine fits a line. It needs leastSizes different values of x.
func fitLine(x, y []float64) (Line, bool) {
	sizes := map[float64]bool{}
	line := Line{Points: len(x), From: math.Inf(1)}
	largest := 0.0
	for i := range x {
		sizes[x[i]] = true
		line.From, line.To = min(line.From, x[i]), max(line.To, x[i])
		largest = max(largest, math.Abs(y[i]))
	}
	if len(sizes) < leastSizes || largest == 0 {
		return Line{}, false
	}
	line.Intercept, line.Slope = stat.LinearRegression(x, y, nil, false)
	line.R2 = stat.RSquared(x, y, nil, line.Intercept, line.Slope)
	for i := range x {
		line.Residual = max(line.Residual, math.Abs(y[i]-line.at(x[i]))/largest)
	}
	power, factor := fitPower(x, y)
	line.Power = power
	byLine := squaredError(x, y, line.at)
	byPower := squaredError(x, y, func(v float64) float64 { return factor * math.Pow(v, power) })
	line.Bent = power != 0 && byPower < farBetter*byLine && line.Residual > rounding
	return line, true
}

// rounding is the residual of a line through points that lie on it.
const rounding = 1e-6

func squaredError(x, y []float64, f func(float64) float64) float64 {
	sum := 0.0
	for i := range x {
		sum += (y[i] - f(x[i])) * (y[i] - f(x[i]))
	}
	return sum
}

// fitPower fits factor·x^power.
func fitPower(x, y []float64) (power, factor float64) {
	var logX, logY []float64
	for i := range x {
		if x[i] > 0 && y[i] > 0 {
			logX, logY = append(logX, math.Log(x[i])), append(logY, math.Log(y[i]))
		}
	}
	if len(logX) < leastSizes {
		return 0, 0
	}
	logFactor, power := stat.LinearRegression(logX, logY, nil, false)
	return power, math.Exp(logFactor)
}

func (l Line) at(x float64) float64 { return l.Intercept + l.Slope*x }

// isLine tells whether a line describes the growth.
func (l Line) isLine() bool { return l.R2 >= leastR2 && l.Residual <= mostResidual && !l.Bent }

// growth names how a figure grows.
func (l Line) growth() string {
	switch {
	case l.isLine():
		return "line"
	case l.R2 < leastR2 && math.Abs(l.Power) < flatPower:
		return "flat"
	}
	return fmt.Sprintf("no line: power %.2f", l.Power)
}

// flatPower is the exponent below which a figure doesn't grow with size.
const flatPower = 0.15

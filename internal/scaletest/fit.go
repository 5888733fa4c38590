package scaletest

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line describes how a quantity grows with size: a least-squares line, and a power law for comparison.
type Line struct {
	Points           int
	From, To         float64 // range of x
	Intercept, Slope float64
	R2               float64
	Residual         float64 // largest distance of a point from the line, relative to the largest absolute value of y
	Power            float64 // exponent of the power law that fits best; 0 if there are too few positive points
	FollowsPowerLaw  bool    // the power law fits much better than the line
}

// Criteria for linear growth.
const (
	minSizes    = 4    // different sizes that a fit needs
	minR2       = 0.95 // lowest coefficient of determination
	maxResidual = 0.20 // largest relative residual
	// muchBetterRatio is the ratio of squared errors, power law to line, below which the power law counts as much better.
	muchBetterRatio = 0.25
)

// fitLine fits a line to the points. It returns false if there are fewer than minSizes different values of x, or if
// all values of y are 0.
func fitLine(x, y []float64) (Line, bool) {
	sizes := map[float64]bool{}
	line := Line{Points: len(x), From: math.Inf(1)}
	largest := 0.0
	for i := range x {
		sizes[x[i]] = true
		line.From, line.To = min(line.From, x[i]), max(line.To, x[i])
		largest = max(largest, math.Abs(y[i]))
	}
	if len(sizes) < minSizes || largest == 0 {
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
	line.FollowsPowerLaw = power != 0 && byPower < muchBetterRatio*byLine && line.Residual > roundingError
	return line, true
}

// roundingError is the relative residual up to which a deviation from the line is a rounding error.
const roundingError = 1e-6

// squaredError returns the sum of the squared distances of the points from f.
func squaredError(x, y []float64, f func(float64) float64) float64 {
	sum := 0.0
	for i := range x {
		sum += (y[i] - f(x[i])) * (y[i] - f(x[i]))
	}
	return sum
}

// fitPower fits factor·x^power to the points with positive coordinates; it returns 0, 0 if there are fewer than
// minSizes of them.
func fitPower(x, y []float64) (power, factor float64) {
	var logX, logY []float64
	for i := range x {
		if x[i] > 0 && y[i] > 0 {
			logX, logY = append(logX, math.Log(x[i])), append(logY, math.Log(y[i]))
		}
	}
	if len(logX) < minSizes {
		return 0, 0
	}
	logFactor, power := stat.LinearRegression(logX, logY, nil, false)
	return power, math.Exp(logFactor)
}

func (l Line) at(x float64) float64 { return l.Intercept + l.Slope*x }

// isLinear reports whether the growth is linear.
func (l Line) isLinear() bool {
	return l.R2 >= minR2 && l.Residual <= maxResidual && !l.FollowsPowerLaw
}

// growth classifies the growth, for the tables: line, flat, or the exponent of the power law.
func (l Line) growth() string {
	switch {
	case l.isLinear():
		return "line"
	case l.R2 < minR2 && math.Abs(l.Power) < flatPowerLimit:
		return "flat"
	}
	return fmt.Sprintf("no line: power %.2f", l.Power)
}

// flatPowerLimit is the exponent below which a quantity counts as independent of the size.
const flatPowerLimit = 0.15

package scale

import "io"

// Report prints the tables that come of points.
func Report(w io.Writer, points []Point) error { return nil }

package scaletest

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"dykeledge/internal/textout"
)

// Ladder is the name of the run whose points are fitted: the same profile at several sizes.
const Ladder = "ladder"

// Report prints tables of points as Markdown: for each cut its runs, controllers and configuration changes, and for the
// ladder of the peak the growth of each role's and worker's resource usage with the number of workers. Points whose
// hollow side was overloaded are listed, but left out of the fits.
func Report(writer io.Writer, points []Point) error {
	buffer := bufio.NewWriter(writer)
	out := textout.New(buffer)
	byCut := map[Scenario][]Point{}
	for _, p := range points {
		byCut[p.Scenario] = append(byCut[p.Scenario], p)
	}
	for _, list := range byCut {
		slices.SortStableFunc(list, func(a, b Point) int {
			return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(a.Fraction, b.Fraction), cmp.Compare(a.Seed, b.Seed), cmp.Compare(a.Region, b.Region))
		})
	}
	for _, cut := range []struct {
		cut   Scenario
		title string
	}{
		{Peak, "The peak: the largest region at its part of the task starts"},
		{Population, "The whole population: all regions, tasks of five minutes"},
		{Changes, "Changes of the configuration at the letter's rate, at the peak"},
		{Faults, "Troubles: a day's failures pressed into the measured time, with changes"},
	} {
		if list := byCut[cut.cut]; len(list) > 0 {
			out.Printf("### %s\n\n", cut.title)
			runsTable(out, list)
			controllersTable(out, slices.DeleteFunc(slices.Clone(list), func(p Point) bool { return p.Run == Ladder }))
			changesTable(out, list)
		}
	}
	ladder := slices.DeleteFunc(byCut[Peak], func(p Point) bool { return p.Run != Ladder })
	if len(ladder) > 0 {
		out.Printf("### What a controller costs, by role, over the ladder\n\n")
		rolesTable(out, ladder)
		out.Printf("### What a worker costs, and the state service holds, over the ladder\n\n")
		workerTable(out, ladder)
	}
	return errors.Join(out.Flush(), buffer.Flush())
}

// runsTable prints a row for each point.
func runsTable(out *textout.Printer, points []Point) {
	out.Println("| run | part of the letter | region | commit | workers | starts/s offered | started | running | urgent ms p50 / p99 / max | longest time without a start, s | killed by leases | broken rules | ended by themselves | hollow side: cores, p99 late ms | load of the machine |")
	out.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range points {
		mark := ""
		if p.Overloaded {
			mark = " **overloaded: says nothing of controllers**"
		}
		out.Printf("| %s | %s | %s | %s | %d | %.0f | %.0f | %d | %.0f / %.0f / %.0f | %.1f | %d | %d | %d | %.2f, %.1f%s | %.1f |\n", p.Run, fractionText(p.Fraction), p.Region,
			p.Commit, p.WorkersUp, p.OfferedStartsPerS, p.StartsPerS, p.Running, p.UrgentWaitMs.P50, p.UrgentWaitMs.P99, p.UrgentWaitMs.Max, p.LongestGapS, p.LeaseKills,
			len(p.BrokenRules), p.UnexpectedExits, p.HollowCores, p.LatenessMs.P99, mark, p.HostLoad)
	}
	out.Println()
}

// controllersTable prints a row for each controller of points that are not fitted. A controller that was restarted or
// changed its role during the measurement is marked, since its CPU usage covers only a part of that time.
func controllersTable(out *textout.Printer, points []Point) {
	if len(points) == 0 {
		return
	}
	out.Println("| run | part of the letter | region | role | partitions | cores | of these planning | MB | connections | reports 1/s | placed 1/s | state: transactions 1/s | received KB/s |")
	out.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range points {
		for _, c := range p.Controllers {
			role := string(c.Role)
			if !c.Uninterrupted {
				role += ", not all the time"
			}
			out.Printf("| %s | %s | %s | %s | %d | %.3f | %.3f | %.0f | %d | %.0f | %.0f | %.1f | %.0f |\n", p.Run, fractionText(p.Fraction), p.Region, role, c.Shards,
				c.Cores, c.PlanCores, c.MemMB, c.Sockets, c.HeartbeatsS, c.LaunchesS, c.TxnsS, c.StateOutS/1000)
		}
	}
	out.Println()
}

// changesTable prints a row for each point with configuration changes.
func changesTable(out *textout.Printer, points []Point) {
	points = slices.DeleteFunc(slices.Clone(points), func(p Point) bool { return p.ChangesMade == 0 })
	if len(points) == 0 {
		return
	}
	out.Println("| run | part of the letter | region | changes made in s | not in force within a minute | in force on all controllers of the cell, ms p50 / p99 / max | limits lowered: count, ms p50 / p99 / max |")
	out.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range points {
		out.Printf("| %s | %s | %s | %d in %.0f | %d | %.0f / %.0f / %.0f | %d, %.0f / %.0f / %.0f |\n", p.Run, fractionText(p.Fraction), p.Region, p.ChangesMade, p.MeasureS,
			p.ChangesFailed, p.ChangeMs.P50, p.ChangeMs.P99, p.ChangeMs.Max, p.LowerMs.Count, p.LowerMs.P50, p.LowerMs.P99, p.LowerMs.Max)
	}
	out.Println()
}

// fractionText formats a fraction as 1/n if it is one, for example 0.25 as 1/4, and as a decimal number otherwise.
func fractionText(f float64) string {
	if n := 1 / f; f < 1 && n == float64(int(n)) {
		return fmt.Sprintf("1/%d", int(n))
	}
	return fmt.Sprintf("%g", f)
}

// controllerFigure is a quantity of a controller that the tables show.
type controllerFigure struct {
	name   string
	format string
	of     func(*ControllerPoint) float64
}

var controllerFigures = []controllerFigure{
	{"processor, cores", "%.3f", func(c *ControllerPoint) float64 { return c.Cores }},
	{"of these planning", "%.3f", func(c *ControllerPoint) float64 { return c.PlanCores }},
	{"memory, MB", "%.0f", func(c *ControllerPoint) float64 { return c.MemMB }},
	{"connections", "%.0f", func(c *ControllerPoint) float64 { return float64(c.Sockets) }},
	{"threads", "%.0f", func(c *ControllerPoint) float64 { return float64(c.Threads) }},
	{"reports answered, 1/s", "%.0f", func(c *ControllerPoint) float64 { return c.HeartbeatsS }},
	{"tasks placed, 1/s", "%.0f", func(c *ControllerPoint) float64 { return c.LaunchesS }},
	{"state: transactions, 1/s", "%.1f", func(c *ControllerPoint) float64 { return c.TxnsS }},
	{"state: follows, 1/s", "%.1f", func(c *ControllerPoint) float64 { return c.WatchesS }},
	{"state: lease requests, 1/s", "%.2f", func(c *ControllerPoint) float64 { return c.LeasesS }},
	{"state: bytes sent, KB/s", "%.0f", func(c *ControllerPoint) float64 { return c.StateInS / 1000 }},
	{"state: bytes received, KB/s", "%.0f", func(c *ControllerPoint) float64 { return c.StateOutS / 1000 }},
	{"cloud requests, 1/s", "%.2f", func(c *ControllerPoint) float64 { return c.CloudS }},
	{"to other controllers, KB/s", "%.1f", func(c *ControllerPoint) float64 { return c.PeerBytesS / 1000 }},
}

const fitHead = "measured at the largest size | a 1,000 workers | at 0 | R² | worst residual | growth | sizes and points |"

// rolesTable prints the growth of each quantity for each role. Controllers whose process or role changed during the
// measurement are left out.
func rolesTable(out *textout.Printer, points []Point) {
	out.Printf("| role | figure | %s\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", fitHead)
	for _, role := range []Role{Leader, Owner, Member} {
		for _, f := range controllerFigures {
			var x, y []float64
			for i := range points {
				for k := range points[i].Controllers {
					if c := &points[i].Controllers[k]; c.Uninterrupted && c.Role == role && !points[i].Overloaded {
						x, y = append(x, float64(points[i].WorkersUp)), append(y, f.of(c))
					}
				}
			}
			fitRow(out, string(role)+" | "+f.name, f.format, x, y)
		}
	}
	out.Println()
}

// pointFigure is a quantity of a cell that the tables show.
type pointFigure struct {
	name   string
	format string
	of     func(*Point) float64
}

var pointFigures = []pointFigure{
	{"worker: bytes sent a second", "%.0f", func(p *Point) float64 { return p.WorkerOutBps }},
	{"worker: bytes received a second", "%.0f", func(p *Point) float64 { return p.WorkerInBps }},
	{"worker: both", "%.0f", func(p *Point) float64 { return p.WorkerOutBps + p.WorkerInBps }},
	{"worker: reports a second", "%.2f", func(p *Point) float64 { return p.HeartbeatsPerS }},
	{"worker: direct commands a second", "%.2f", func(p *Point) float64 { return p.CommandsPerS }},
	{"worker: part of a core, % (at most: the whole hollow side by its workers)", "%.3f", func(p *Point) float64 { return 100 * p.HollowCores / float64(max(1, p.WorkersUp)) }},
	{"state service: changes a second", "%.0f", func(p *Point) float64 { return p.WritesPerS }},
	{"state service: starts a change", "%.2f", func(p *Point) float64 { return p.StartsPerS / max(1, p.WritesPerS) }},
	{"state service: refused for its rate, 1/s", "%.2f", func(p *Point) float64 { return p.ThrottledPerS }},
	{"state service: keys", "%.0f", func(p *Point) float64 { return float64(p.StateKeys) }},
	{"state service: KB", "%.0f", func(p *Point) float64 { return float64(p.StateBytes) / 1000 }},
	{"urgent: ms at the 99th percentile", "%.0f", func(p *Point) float64 { return p.UrgentWaitMs.P99 }},
	{"submissions: ms at the 99th percentile", "%.0f", func(p *Point) float64 { return p.AcceptMs.P99 }},
}

// workerTable prints the growth of each quantity of a cell.
func workerTable(out *textout.Printer, points []Point) {
	out.Printf("| figure | %s\n| --- | --- | --- | --- | --- | --- | --- | --- |\n", fitHead)
	for _, f := range pointFigures {
		var x, y []float64
		for i := range points {
			if !points[i].Overloaded {
				x, y = append(x, float64(points[i].WorkersUp)), append(y, f.of(&points[i]))
			}
		}
		fitRow(out, f.name, f.format, x, y)
	}
	out.Println()
}

// fitRow prints the growth of one quantity y with the size x. It prints nothing if there are no points, and a remark if
// there are too few sizes for a fit.
func fitRow(out *textout.Printer, name, format string, x, y []float64) {
	if len(x) == 0 {
		return
	}
	largest, atLargest := slices.Max(x), []float64{}
	sizes := map[float64]bool{}
	for i := range x {
		sizes[x[i]] = true
		if x[i] == largest {
			atLargest = append(atLargest, y[i])
		}
	}
	slices.Sort(atLargest)
	measured := fmt.Sprintf(format, atLargest[0])
	if last := fmt.Sprintf(format, atLargest[len(atLargest)-1]); last != measured {
		measured += " to " + last
	}
	count := fmt.Sprintf("%d, %d", len(sizes), len(x))
	line, ok := fitLine(x, y)
	if !ok {
		out.Printf("| %s | %s | | | | | too few sizes, or nothing | %s |\n", name, measured, count)
		return
	}
	per1000, zero := fmt.Sprintf(format, 1000*line.Slope), fmt.Sprintf(format, line.Intercept)
	if !strings.HasPrefix(line.growth(), "line") {
		per1000, zero = "", ""
	}
	out.Printf("| %s | %s | %s | %s | %.3f | %.0f %% | %s | %s |\n", name, measured, per1000, zero, line.R2, 100*line.Residual, line.growth(), count)
}

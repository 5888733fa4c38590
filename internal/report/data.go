package report

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dykeledge/internal/view"
)

// Report is what a page shows; the JSON beside the page is this. Figures are rounded here, so
// that both say the same. Amounts are processors, seconds, and the catalog's money.
type Report struct {
	Title     string       `json:"title"`
	Scope     string       `json:"scope"` // the team that it is for, "" for operators
	Made      time.Time    `json:"made"`
	From      time.Time    `json:"from"`
	To        time.Time    `json:"to"`
	KnownFrom time.Time    `json:"known_from"` // no figure is of an earlier time
	Samples   int          `json:"samples"`
	Gaps      []Gap        `json:"gaps"`
	Broken    int          `json:"broken_lines"`
	Cpus      float64      `json:"mean_cpus_of_all_machines"`
	Teams     []TeamReport `json:"teams"`
	Others    *Others      `json:"all_others,omitempty"`
}

// Gap is a time of which nothing is known, as nobody recorded.
type Gap struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	S    float64   `json:"s"`
}

// Others is what all other teams together had.
type Others struct {
	MeanCpus float64 `json:"mean_cpus"`
	MostCpus float64 `json:"most_cpus"`
}

// TeamReport is one team's part.
type TeamReport struct {
	Name         string       `json:"team"`
	Guarantee    float64      `json:"guarantee_cpus"`
	Limit        float64      `json:"limit_cpus"` // 0: none
	MeanCpus     float64      `json:"mean_cpus"`
	MostCpus     float64      `json:"most_cpus"`
	MeanBorrowed float64      `json:"mean_borrowed_cpus"`
	MeanDominant float64      `json:"mean_dominant_share_percent"`
	ShortS       float64      `json:"below_guarantee_while_waiting_s"`
	Money        float64      `json:"money"`
	Done         int          `json:"jobs_done"`
	Cancelled    int          `json:"jobs_cancelled"`
	Waits        Spread       `json:"waits_s"`
	WithDue      int          `json:"jobs_with_deadline"`
	Late         int          `json:"jobs_late"`
	LateBy       Spread       `json:"late_by_s"`
	Evicted      int          `json:"tasks_evicted"`     // of this team
	EvictedFor   int          `json:"tasks_evicted_for"` // its jobs
	Series       []Point      `json:"series"`
	Latest       []LateJob    `json:"worst_late_jobs"`
	waits        []float64    // of jobs that started, in seconds
	lates        [][2]float64 // when a job ended (seconds of the day's clock) and by how much it was late
	evicts       [][3]float64 // when a set was evicted, its tasks in it, and tasks evicted for it, all so far
}

// Spread tells of a distribution.
type Spread struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	Most  float64 `json:"most"`
}

// Point is one moment of a team.
type Point struct {
	At      time.Time `json:"at"`
	Cpus    float64   `json:"cpus"`
	Waiting float64   `json:"waiting_cpus"`
	Money   float64   `json:"money"` // since the beginning
}

// LateJob is a job that was late.
type LateJob struct {
	ID    string    `json:"id"`
	Class string    `json:"class"`
	Ended time.Time `json:"ended"`
	LateS float64   `json:"late_s"`
}

const (
	mostPoints = 300
	mostLate   = 20
	// A pause between samples this many times as long as usual is a gap.
	gapTimes = 4
)

func round(v float64) float64 { return math.Round(v*100) / 100 }

// exact rounds money, of which there may be little.
func exact(v float64) float64 { return math.Round(v*1e4) / 1e4 }

func cpus(milli uint64) float64 { return float64(milli) / 1000 }

// Make works a heartbeat out of a history.
func Make(history *History, title string, scope view.Scope, made time.Time) *Report {
	report := &Report{Title: title, Scope: string(scope), Made: made.Truncate(time.Second), From: time.UnixMilli(history.From), To: time.UnixMilli(history.To),
		Samples: len(history.Samples), Broken: history.Broken, Gaps: []Gap{}, Teams: []TeamReport{}}
	report.KnownFrom = report.To
	if len(history.Samples) > 0 {
		report.KnownFrom = time.UnixMilli(history.Samples[0].At)
	}
	usual := usualPause(history.Samples)
	teams := map[string]*sums{}
	var order []string
	var total, all, others, spanned float64
	mostOthers := 0.0
	for i, sample := range history.Samples {
		dt := 0.0 // for which this sample stands
		if i+1 < len(history.Samples) {
			pause := float64(history.Samples[i+1].At-sample.At) / 1000
			if dt = pause; pause > gapTimes*usual {
				dt = usual
				from := sample.At + int64(usual*1000)
				report.Gaps = append(report.Gaps, Gap{time.UnixMilli(from), time.UnixMilli(history.Samples[i+1].At), round(pause - usual)})
			}
		}
		spanned += dt
		all += dt * cpus(sample.Fleet.Cpus)
		if sample.Others != nil {
			others += dt * cpus(sample.Others.UsedCpus)
			mostOthers = max(mostOthers, cpus(sample.Others.UsedCpus))
		}
		for k := range sample.Teams {
			t := &sample.Teams[k]
			x := teams[t.Name]
			if x == nil {
				x = &sums{}
				teams[t.Name] = x
				order = append(order, t.Name)
			}
			x.add(t, time.UnixMilli(sample.At), dt)
			total += dt
		}
	}
	mean := func(v float64) float64 {
		if spanned == 0 {
			return 0
		}
		return round(v / spanned)
	}
	report.Cpus = mean(all)
	if scope != view.Operators {
		report.Others = &Others{mean(others), round(mostOthers)}
	}
	slices.Sort(order)
	for _, name := range order {
		report.Teams = append(report.Teams, teams[name].report(name, mean, history))
	}
	return report
}

// usualPause is the median pause between samples, in seconds.
func usualPause(list []Sample) float64 {
	var p []int64
	for i := 1; i < len(list); i++ {
		p = append(p, list[i].At-list[i-1].At)
	}
	if len(p) == 0 {
		return 0
	}
	slices.Sort(p)
	return float64(p[len(p)/2]) / 1000
}

// sums is what a team's samples add up to.
type sums struct {
	last                                         view.Team
	used, borrowed, dominant, most, short, money float64
	points                                       []Point
}

func (x *sums) add(t *view.Team, at time.Time, dt float64) {
	x.last = *t
	borrowed, _ := t.Borrowed()
	x.used += dt * cpus(t.UsedCpus)
	x.borrowed += dt * cpus(borrowed)
	x.dominant += dt * float64(t.DominantPM) / 10
	x.most = max(x.most, cpus(t.UsedCpus))
	if t.UsedCpus < t.Cpus && t.WaitsCpus > 0 {
		x.short += dt
	}
	x.points = append(x.points, Point{at, round(cpus(t.UsedCpus)), round(cpus(t.WaitsCpus)), exact(x.money)})
	x.money += dt / 3600 * float64(t.RateMicro) / 1e6
}

func (x *sums) report(name string, mean func(float64) float64, history *History) TeamReport {
	teamReport := TeamReport{Name: name, Guarantee: round(cpus(x.last.Cpus)), Limit: round(cpus(x.last.CpusMax)), MeanCpus: mean(x.used), MostCpus: round(x.most),
		MeanBorrowed: mean(x.borrowed), MeanDominant: mean(x.dominant), ShortS: round(x.short), Money: exact(x.money), Series: thin(x.points), Latest: []LateJob{}}
	waits, lates := newSpread(), newSpread()
	for i := range history.Jobs {
		jobEnd := &history.Jobs[i]
		if jobEnd.Team != name {
			continue
		}
		if jobEnd.Status == view.Cancelled {
			teamReport.Cancelled++
			continue
		}
		teamReport.Done++
		if jobEnd.Started > 0 {
			w := float64(max(0, jobEnd.Started-jobEnd.From)) / 1000
			waits.add(w)
			teamReport.waits = append(teamReport.waits, w)
		}
		if jobEnd.Due == 0 {
			continue
		}
		teamReport.WithDue++
		if late := jobEnd.Behind(jobEnd.Seen); late > 0 {
			teamReport.Late++
			lates.add(float64(late) / 1000)
			teamReport.Latest = append(teamReport.Latest, LateJob{jobEnd.ID, jobEnd.Class, time.UnixMilli(jobEnd.End), round(float64(late) / 1000)})
		}
		teamReport.lates = append(teamReport.lates, [2]float64{float64(jobEnd.End) / 1000, float64(jobEnd.Behind(jobEnd.Seen)) / 1000})
	}
	teamReport.Waits, teamReport.LateBy = waits.spread(), lates.spread()
	slices.SortStableFunc(teamReport.Latest, func(a, b LateJob) int { return cmp.Compare(b.LateS, a.LateS) })
	teamReport.Latest = teamReport.Latest[:min(len(teamReport.Latest), mostLate)]
	for _, e := range history.Evicts {
		for _, v := range e.Victims {
			if v.Team == name {
				teamReport.Evicted++
			}
		}
		if e.Team == name {
			teamReport.EvictedFor += len(e.Victims)
		}
		teamReport.evicts = append(teamReport.evicts, [3]float64{float64(e.At) / 1000, float64(teamReport.Evicted), float64(teamReport.EvictedFor)})
	}
	return teamReport
}

// thin keeps every nth point, and the last.
func thin(points []Point) []Point {
	n := (len(points) + mostPoints - 1) / mostPoints
	if n <= 1 {
		return points
	}
	var out []Point
	for i := 0; i < len(points); i += n {
		out = append(out, points[i])
	}
	if last := points[len(points)-1]; out[len(out)-1] != last {
		out = append(out, last)
	}
	return out
}

type spread struct{ h *hdrhistogram.Histogram }

// Times are told apart in hundredths of a second, up to a month.
func newSpread() spread { return spread{hdrhistogram.New(1, 30*86400*100, 4)} }

func (s spread) add(sec float64) {
	_ = s.h.RecordValue(int64(min(30*86400*100, max(0, math.Round(sec*100))))) // within its bounds
}

func (s spread) spread() Spread {
	at := func(q float64) float64 { return round(float64(s.h.ValueAtQuantile(q)) / 100) }
	return Spread{s.h.TotalCount(), at(50), at(90), round(float64(s.h.Max()) / 100)}
}

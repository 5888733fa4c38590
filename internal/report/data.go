package report

import (
	"cmp"
	"maps"
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

// Bounds of a report.
const (
	mostPoints = 300 // of a team's series
	mostLate   = 20  // jobs that are listed
	gapTimes   = 4   // a pause between samples this many times as long as usual is a gap
)

func round(v float64) float64 { return math.Round(v*100) / 100 }

// exact rounds money, of which there may be little.
func exact(v float64) float64 { return math.Round(v*1e4) / 1e4 }

func cpus(milli uint64) float64 { return float64(milli) / 1000 }

// Make works a report out of a history, which is as the scope may see it.
func Make(history *History, title string, scope view.Scope, made time.Time) *Report {
	report := &Report{Title: title, Scope: string(scope), Made: made.Truncate(time.Second), From: time.UnixMilli(history.From), To: time.UnixMilli(history.To),
		Samples: len(history.Samples), Broken: history.Broken, Gaps: []Gap{}, Teams: []TeamReport{}}
	report.KnownFrom = report.To
	if len(history.Samples) > 0 {
		report.KnownFrom = time.UnixMilli(history.Samples[0].At)
	}
	totals := &totals{teams: map[string]*sums{}}
	usual := usualPause(history.Samples)
	for i := range history.Samples {
		sample, lasts := &history.Samples[i], 0.0
		if i+1 < len(history.Samples) {
			next := &history.Samples[i+1]
			lasts = float64(next.At-sample.At) / 1000
			if lasts > gapTimes*usual {
				from := sample.At + int64(usual*1000)
				report.Gaps = append(report.Gaps, Gap{time.UnixMilli(from), time.UnixMilli(next.At), round(lasts - usual)})
				lasts = usual
			}
		}
		totals.add(sample, lasts)
	}
	report.Cpus = totals.mean(totals.all)
	if scope != view.Operators {
		report.Others = &Others{totals.mean(totals.others), round(totals.mostOthers)}
	}
	for _, name := range slices.Sorted(maps.Keys(totals.teams)) {
		report.Teams = append(report.Teams, totals.teams[name].report(name, totals.mean, history))
	}
	return report
}

// totals is what samples add up to: processors times seconds, and the seconds.
type totals struct {
	teams       map[string]*sums
	spanned     float64
	all, others float64
	mostOthers  float64 // processors
}

// add adds a sample that stands for so many seconds.
func (t *totals) add(sample *Sample, seconds float64) {
	t.spanned += seconds
	t.all += seconds * cpus(sample.Fleet.Cpus)
	if sample.Others != nil {
		t.others += seconds * cpus(sample.Others.UsedCpus)
		t.mostOthers = max(t.mostOthers, cpus(sample.Others.UsedCpus))
	}
	for i := range sample.Teams {
		team := &sample.Teams[i]
		if t.teams[team.Name] == nil {
			t.teams[team.Name] = &sums{}
		}
		t.teams[team.Name].add(team, time.UnixMilli(sample.At), seconds)
	}
}

// mean is a sum's mean over the time that the samples stand for.
func (t *totals) mean(sum float64) float64 {
	if t.spanned == 0 {
		return 0
	}
	return round(sum / t.spanned)
}

// usualPause is the median pause between samples, in seconds.
func usualPause(samples []Sample) float64 {
	var pauses []int64
	for i := 1; i < len(samples); i++ {
		pauses = append(pauses, samples[i].At-samples[i-1].At)
	}
	if len(pauses) == 0 {
		return 0
	}
	slices.Sort(pauses)
	return float64(pauses[len(pauses)/2]) / 1000
}

// sums is what a team's samples add up to.
type sums struct {
	last                                         view.Team
	used, borrowed, dominant, most, short, money float64
	points                                       []Point
}

// add adds a team's part of a sample that stands for so many seconds.
func (s *sums) add(team *view.Team, at time.Time, seconds float64) {
	s.last = *team
	borrowed, _ := team.Borrowed()
	s.used += seconds * cpus(team.UsedCpus)
	s.borrowed += seconds * cpus(borrowed)
	s.dominant += seconds * float64(team.DominantPM) / 10
	s.most = max(s.most, cpus(team.UsedCpus))
	if team.UsedCpus < team.Cpus && team.WaitsCpus > 0 {
		s.short += seconds
	}
	s.points = append(s.points, Point{at, round(cpus(team.UsedCpus)), round(cpus(team.WaitsCpus)), exact(s.money)})
	s.money += seconds / 3600 * float64(team.RateMicro) / 1e6
}

// report works out a team's part of a report.
func (s *sums) report(name string, mean func(float64) float64, history *History) TeamReport {
	report := TeamReport{Name: name, Guarantee: round(cpus(s.last.Cpus)), Limit: round(cpus(s.last.CpusMax)), MeanCpus: mean(s.used), MostCpus: round(s.most),
		MeanBorrowed: mean(s.borrowed), MeanDominant: mean(s.dominant), ShortS: round(s.short), Money: exact(s.money), Series: thin(s.points), Latest: []LateJob{}}
	report.addJobs(history.Jobs)
	report.addEvictions(history.Evicts)
	return report
}

// addJobs counts a team's jobs that are over, their waits and how late they were.
func (t *TeamReport) addJobs(jobs []JobEnd) {
	waits, lates := newSpread(), newSpread()
	for i := range jobs {
		job := &jobs[i]
		if job.Team != t.Name {
			continue
		}
		if job.Status == view.Cancelled {
			t.Cancelled++
			continue
		}
		t.Done++
		if job.Started > 0 {
			wait := float64(max(0, job.Started-job.From)) / 1000
			waits.add(wait)
			t.waits = append(t.waits, wait)
		}
		if job.Due == 0 {
			continue
		}
		t.WithDue++
		lateS := float64(job.Behind(job.Seen)) / 1000
		if lateS > 0 {
			t.Late++
			lates.add(lateS)
			t.Latest = append(t.Latest, LateJob{job.ID, job.Class, time.UnixMilli(job.End), round(lateS)})
		}
		t.lates = append(t.lates, [2]float64{float64(job.End) / 1000, lateS})
	}
	t.Waits, t.LateBy = waits.spread(), lates.spread()
	slices.SortStableFunc(t.Latest, func(a, b LateJob) int { return cmp.Compare(b.LateS, a.LateS) })
	t.Latest = t.Latest[:min(len(t.Latest), mostLate)]
}

// addEvictions counts the team's evicted tasks, and those that were evicted for its jobs.
func (t *TeamReport) addEvictions(evictions []view.Eviction) {
	for _, eviction := range evictions {
		for _, victim := range eviction.Victims {
			if victim.Team == t.Name {
				t.Evicted++
			}
		}
		if eviction.Team == t.Name {
			t.EvictedFor += len(eviction.Victims)
		}
		t.evicts = append(t.evicts, [3]float64{float64(eviction.At) / 1000, float64(t.Evicted), float64(t.EvictedFor)})
	}
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

// spread counts times in hundredths of a second.
type spread struct{ h *hdrhistogram.Histogram }

// longestCentiseconds is the longest time that a spread tells apart, a month, in its unit.
const longestCentiseconds = 30 * 86400 * 100

func newSpread() spread { return spread{hdrhistogram.New(1, longestCentiseconds, 4)} }

func (s spread) add(seconds float64) {
	_ = s.h.RecordValue(int64(min(longestCentiseconds, max(0, math.Round(seconds*100))))) // within its bounds
}

func (s spread) spread() Spread {
	at := func(q float64) float64 { return round(float64(s.h.ValueAtQuantile(q)) / 100) }
	return Spread{s.h.TotalCount(), at(50), at(90), round(float64(s.h.Max()) / 100)}
}

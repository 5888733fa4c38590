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

// Report holds the figures of a report. It is written as an HTML page and as a JSON file; the figures are
// rounded here so that both show the same values. Amounts are in processors, seconds, and the currency of
// the machine catalog.
type Report struct {
	Title     string       `json:"title"`
	Scope     string       `json:"scope"` // the team that the report is for, "" for operators
	Made      time.Time    `json:"made"`
	From      time.Time    `json:"from"`
	To        time.Time    `json:"to"`
	KnownFrom time.Time    `json:"known_from"` // time of the first sample; there are no figures of an earlier time
	Samples   int          `json:"samples"`
	Gaps      []Gap        `json:"gaps"`
	Broken    int          `json:"broken_lines"`
	Cpus      float64      `json:"mean_cpus_of_all_machines"`
	Teams     []TeamReport `json:"teams"`
	Others    *Others      `json:"all_others,omitempty"`
}

// Gap is a time without samples because no recorder was running.
type Gap struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	S    float64   `json:"s"`
}

// Others is the usage of all other teams together, in the report of one team.
type Others struct {
	MeanCpus float64 `json:"mean_cpus"`
	MostCpus float64 `json:"most_cpus"`
}

// TeamReport holds the figures of one team.
type TeamReport struct {
	Name         string       `json:"team"`
	Guarantee    float64      `json:"guarantee_cpus"`
	Limit        float64      `json:"limit_cpus"` // 0: no limit
	MeanCpus     float64      `json:"mean_cpus"`
	MostCpus     float64      `json:"most_cpus"`
	MeanBorrowed float64      `json:"mean_borrowed_cpus"`
	MeanDominant float64      `json:"mean_dominant_share_percent"`
	ShortS       float64      `json:"below_guarantee_while_waiting_s"`
	Money        float64      `json:"money"`
	Done         int          `json:"jobs_done"`
	Cancelled    int          `json:"jobs_cancelled"`
	Waits        Distribution `json:"waits_s"`
	WithDue      int          `json:"jobs_with_deadline"`
	Late         int          `json:"jobs_late"`
	LateBy       Distribution `json:"late_by_s"`
	Evicted      int          `json:"tasks_evicted"`     // tasks of this team that were victims
	EvictedFor   int          `json:"tasks_evicted_for"` // victims of any team that made room for jobs of this team
	Series       []Point      `json:"series"`
	Latest       []LateJob    `json:"worst_late_jobs"`
	waitSeconds  []float64    // waiting times of the jobs that started, in seconds
	lateness     [][2]float64 // per job with a deadline: when it ended, in Unix seconds, and by how many seconds it was late
	evictedSoFar [][3]float64 // per victim set: its time in Unix seconds, and the values of Evicted and EvictedFor up to then
}

// Distribution summarizes the distribution of a value.
type Distribution struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	Most  float64 `json:"most"`
}

// Point is the usage of a team at one time.
type Point struct {
	At      time.Time `json:"at"`
	Cpus    float64   `json:"cpus"`
	Waiting float64   `json:"waiting_cpus"`
	Money   float64   `json:"money"` // cost since the first sample
}

// LateJob is a job that ended after its deadline.
type LateJob struct {
	ID    string    `json:"id"`
	Class string    `json:"class"`
	Ended time.Time `json:"ended"`
	LateS float64   `json:"late_s"`
}

// Limits of a report.
const (
	maxPoints   = 300 // in the series of a team
	maxLateJobs = 20  // listed per team
	gapFactor   = 4   // an interval between samples that is this many times the median is a gap
)

func roundHundredths(v float64) float64 { return math.Round(v*100) / 100 }

// roundMoney rounds to four decimals, because amounts of money may be small.
func roundMoney(v float64) float64 { return math.Round(v*1e4) / 1e4 }

func fromMilli(milli uint64) float64 { return float64(milli) / 1000 }

// Make computes a report from a history that was read for the same scope.
func Make(history *History, title string, scope view.Scope, made time.Time) *Report {
	report := &Report{Title: title, Scope: string(scope), Made: made.Truncate(time.Second), From: time.UnixMilli(history.From), To: time.UnixMilli(history.To),
		Samples: len(history.Samples), Broken: history.UnreadableLines, Gaps: []Gap{}, Teams: []TeamReport{}}
	report.KnownFrom = report.To
	if len(history.Samples) > 0 {
		report.KnownFrom = time.UnixMilli(history.Samples[0].At)
	}
	totals := &totals{teams: map[string]*teamSums{}}
	interval := medianInterval(history.Samples)
	for i := range history.Samples {
		sample, seconds := &history.Samples[i], 0.0
		if i+1 < len(history.Samples) {
			next := &history.Samples[i+1]
			seconds = float64(next.At-sample.At) / 1000
			if seconds > gapFactor*interval {
				from := sample.At + int64(interval*1000)
				report.Gaps = append(report.Gaps, Gap{time.UnixMilli(from), time.UnixMilli(next.At), roundHundredths(seconds - interval)})
				seconds = interval
			}
		}
		totals.add(sample, seconds)
	}
	report.Cpus = totals.mean(totals.cpuSeconds)
	if scope != view.Operators {
		report.Others = &Others{totals.mean(totals.otherCPUSeconds), roundHundredths(totals.maxOtherCpus)}
	}
	for _, name := range slices.Sorted(maps.Keys(totals.teams)) {
		report.Teams = append(report.Teams, totals.teams[name].report(name, totals.mean, history))
	}
	return report
}

// totals accumulates samples, each weighted by the seconds that it stands for.
type totals struct {
	teams                       map[string]*teamSums
	seconds                     float64
	cpuSeconds, otherCPUSeconds float64
	maxOtherCpus                float64 // the maximum of all samples, in processors
}

// add adds a sample that stands for the given number of seconds.
func (t *totals) add(sample *Sample, seconds float64) {
	t.seconds += seconds
	t.cpuSeconds += seconds * fromMilli(sample.Fleet.Cpus)
	if sample.Others != nil {
		t.otherCPUSeconds += seconds * fromMilli(sample.Others.UsedCpus)
		t.maxOtherCpus = max(t.maxOtherCpus, fromMilli(sample.Others.UsedCpus))
	}
	for i := range sample.Teams {
		team := &sample.Teams[i]
		if t.teams[team.Name] == nil {
			t.teams[team.Name] = &teamSums{}
		}
		t.teams[team.Name].add(team, time.UnixMilli(sample.At), seconds)
	}
}

// mean returns the mean of a weighted sum over the time that the samples stand for.
func (t *totals) mean(sum float64) float64 {
	if t.seconds == 0 {
		return 0
	}
	return roundHundredths(sum / t.seconds)
}

// medianInterval returns the median interval between samples, in seconds.
func medianInterval(samples []Sample) float64 {
	var intervals []int64
	for i := 1; i < len(samples); i++ {
		intervals = append(intervals, samples[i].At-samples[i-1].At)
	}
	if len(intervals) == 0 {
		return 0
	}
	slices.Sort(intervals)
	return float64(intervals[len(intervals)/2]) / 1000
}

// teamSums accumulates the samples of one team, each weighted by the seconds that it stands for.
type teamSums struct {
	last                                                                                                  view.Team
	usedCPUSeconds, borrowedCPUSeconds, dominantPercentSeconds, maxUsedCpus, belowGuaranteeSeconds, money float64
	points                                                                                                []Point
}

// add adds the team's row of a sample that stands for the given number of seconds.
func (s *teamSums) add(team *view.Team, at time.Time, seconds float64) {
	s.last = *team
	borrowed, _ := team.Borrowed()
	s.usedCPUSeconds += seconds * fromMilli(team.UsedCpus)
	s.borrowedCPUSeconds += seconds * fromMilli(borrowed)
	s.dominantPercentSeconds += seconds * float64(team.DominantPM) / 10
	s.maxUsedCpus = max(s.maxUsedCpus, fromMilli(team.UsedCpus))
	if team.UsedCpus < team.Cpus && team.WaitingCpus > 0 {
		s.belowGuaranteeSeconds += seconds
	}
	s.points = append(s.points, Point{at, roundHundredths(fromMilli(team.UsedCpus)), roundHundredths(fromMilli(team.WaitingCpus)), roundMoney(s.money)})
	s.money += seconds / 3600 * float64(team.RateMicro) / 1e6
}

// report computes the figures of the team.
func (s *teamSums) report(name string, mean func(float64) float64, history *History) TeamReport {
	report := TeamReport{Name: name, Guarantee: roundHundredths(fromMilli(s.last.Cpus)), Limit: roundHundredths(fromMilli(s.last.CpusMax)), MeanCpus: mean(s.usedCPUSeconds), MostCpus: roundHundredths(s.maxUsedCpus),
		MeanBorrowed: mean(s.borrowedCPUSeconds), MeanDominant: mean(s.dominantPercentSeconds), ShortS: roundHundredths(s.belowGuaranteeSeconds), Money: roundMoney(s.money), Series: downsample(s.points), Latest: []LateJob{}}
	report.addJobs(history.Jobs)
	report.addVictimSets(history.VictimSets)
	return report
}

// addJobs adds the team's final jobs: their number, their waiting times and their lateness.
func (t *TeamReport) addJobs(jobs []FinalJob) {
	waits, lates := newDurationHistogram(), newDurationHistogram()
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
		if job.StartedMs > 0 {
			wait := float64(max(0, job.StartedMs-job.ReadyMs)) / 1000
			waits.add(wait)
			t.waitSeconds = append(t.waitSeconds, wait)
		}
		if job.DeadlineMs == 0 {
			continue
		}
		t.WithDue++
		lateS := float64(job.Behind(job.SeenFinalMs)) / 1000
		if lateS > 0 {
			t.Late++
			lates.add(lateS)
			t.Latest = append(t.Latest, LateJob{job.ID, job.Class, time.UnixMilli(job.EndedMs), roundHundredths(lateS)})
		}
		t.lateness = append(t.lateness, [2]float64{float64(job.EndedMs) / 1000, lateS})
	}
	t.Waits, t.LateBy = waits.distribution(), lates.distribution()
	slices.SortStableFunc(t.Latest, func(a, b LateJob) int { return cmp.Compare(b.LateS, a.LateS) })
	t.Latest = t.Latest[:min(len(t.Latest), maxLateJobs)]
}

// addVictimSets adds the number of the team's tasks that were victims, and the number of victims that made
// room for the team's jobs.
func (t *TeamReport) addVictimSets(victimSets []view.VictimSet) {
	for _, victimSet := range victimSets {
		for _, victim := range victimSet.Victims {
			if victim.Team == t.Name {
				t.Evicted++
			}
		}
		if victimSet.Team == t.Name {
			t.EvictedFor += len(victimSet.Victims)
		}
		t.evictedSoFar = append(t.evictedSoFar, [3]float64{float64(victimSet.ChosenAtMs) / 1000, float64(t.Evicted), float64(t.EvictedFor)})
	}
}

// downsample returns every nth point, with n chosen so that at most maxPoints remain, and the last point.
func downsample(points []Point) []Point {
	n := (len(points) + maxPoints - 1) / maxPoints
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

// durationHistogram is a histogram of durations in hundredths of a second.
type durationHistogram struct{ histogram *hdrhistogram.Histogram }

// maxCentiseconds is the longest duration that a durationHistogram distinguishes: 30 days.
const maxCentiseconds = 30 * 86400 * 100

func newDurationHistogram() durationHistogram {
	return durationHistogram{hdrhistogram.New(1, maxCentiseconds, 4)}
}

func (s durationHistogram) add(seconds float64) {
	_ = s.histogram.RecordValue(int64(min(maxCentiseconds, max(0, math.Round(seconds*100))))) // RecordValue fails only for values out of range
}

func (s durationHistogram) distribution() Distribution {
	at := func(q float64) float64 { return roundHundredths(float64(s.histogram.ValueAtQuantile(q)) / 100) }
	return Distribution{s.histogram.TotalCount(), at(50), at(90), roundHundredths(float64(s.histogram.Max()) / 100)}
}

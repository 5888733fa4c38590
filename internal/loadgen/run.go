package loadgen

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dykeledge/internal/client"
	"dykeledge/internal/protocol"
	"dykeledge/internal/textout"
	"dykeledge/internal/wait"
)

// Deployment is what jobs are given to; client.Users is one. Any number of goroutines call it. Errors wrap
// those of package client.
type Deployment interface {
	Submit(ctx context.Context, body []byte) (protocol.JobState, error)
	Cancel(ctx context.Context, id string) (protocol.JobState, error)
	Status(id string) (protocol.JobState, error)
}

// Result counts what became of the jobs, and how long it took. Times are in milliseconds.
type Result struct {
	Seed      uint64 `json:"seed"`
	Jobs      int    `json:"jobs"`
	Accepted  int    `json:"accepted"`
	Rejected  int    `json:"rejected"` // 400 or 422: a mistake in the profile
	GaveUp    int    `json:"gave_up"`  // no certain answer within a minute
	Retries   int    `json:"retries"`
	Done      int    `json:"done"`
	Cancelled int    `json:"cancelled"`
	Open      int    `json:"open"` // when the load was over
	Late      int    `json:"late"` // of those with a deadline: done after it, or open beyond it
	WithDue   int    `json:"with_deadline"`
	WentBack  int    `json:"went_back"` // a job that was over was told to be something else: must be 0
	Accept    Span   `json:"accept_ms"`
	Complete  Span   `json:"complete_ms"`
	Answers   Span   `json:"poll_ms"`
	Behind    Span   `json:"generator_behind_ms"` // by how much jobs came later than planned
}

// Span tells of a distribution.
type Span struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// longest time that is told apart, in milliseconds.
const longest = 24 * 3600 * 1000

// timer counts times in milliseconds.
type timer struct{ h *hdrhistogram.Histogram }

func newTimer() timer { return timer{hdrhistogram.New(1, longest, 3)} }

func (t timer) add(d time.Duration) {
	_ = t.h.RecordValue(max(1, min(longest, d.Milliseconds()))) // within its bounds
}

func (t timer) span() Span {
	return Span{t.h.TotalCount(), t.h.ValueAtQuantile(50), t.h.ValueAtQuantile(99), t.h.Max()}
}

// Runner gives a plan to a deployment. It is for one Run.
type Runner struct {
	To Deployment
	// Upload, if set, puts a job's description where workers fetch it, before it is submitted.
	Upload func(id string, description []byte) error
	// PollEvery is about how often a job's user asks for it; 0: every five seconds.
	PollEvery time.Duration

	mu                                sync.Mutex
	res                               Result
	accept, complete, answers, behind timer
}

// Run lets the jobs come at their times, waits until all are over or ctx ends, and at most as
// long as drain after the last one has come. No job waits for another's answer.
func (r *Runner) Run(ctx context.Context, plan []Arrival, drain time.Duration) Result {
	r.accept, r.complete, r.answers, r.behind = newTimer(), newTimer(), newTimer(), newTimer()
	r.res = Result{Jobs: len(plan)}
	if r.PollEvery == 0 {
		r.PollEvery = 5 * time.Second // as the protocol's users do
	}
	began := time.Now()
	var all sync.WaitGroup
	until, cancel := context.WithCancel(ctx)
	defer cancel()
	accepted := map[string]chan struct{}{}
	for i := range plan {
		accepted[plan[i].Job.ID] = make(chan struct{})
	}
	for i := range plan {
		arrival := &plan[i]
		if !wait.Until(ctx, began.Add(arrival.At)) {
			break
		}
		late := time.Since(began.Add(arrival.At))
		r.mu.Lock()
		r.behind.add(late)
		r.mu.Unlock()
		all.Go(func() {
			for _, id := range arrival.Job.Dependencies {
				select {
				case <-accepted[id]:
				case <-until.Done():
					return
				}
			}
			r.one(until, arrival, func() { close(accepted[arrival.Job.ID]) })
		})
	}
	over := make(chan struct{})
	go func() { all.Wait(); close(over) }()
	timer := time.NewTimer(drain)
	defer timer.Stop()
	select {
	case <-over:
	case <-timer.C:
	case <-ctx.Done():
	}
	cancel()
	<-over
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Accept, r.res.Complete, r.res.Answers, r.res.Behind = r.accept.span(), r.complete.span(), r.answers.span(), r.behind.span()
	return r.res
}

// Retried counts a request that is repeated. Any number of goroutines may call it.
func (r *Runner) Retried(int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.res.Retries++
}

// count changes the result under its lock.
func (r *Runner) count(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.res)
}

// one is the life of one job's user.
func (r *Runner) one(ctx context.Context, arrival *Arrival, accepted func()) {
	body, err := protocol.EncodeSubmission(&arrival.Job)
	if err == nil && r.Upload != nil {
		err = r.upload(arrival, body)
	}
	if err != nil {
		r.count(func(s *Result) { s.Rejected++ })
		return
	}
	began := time.Now()
	state, err := r.To.Submit(ctx, body)
	switch {
	case errors.Is(err, client.ErrRejected):
		r.count(func(s *Result) { s.Rejected++ })
		return
	case err != nil:
		r.count(func(s *Result) { s.GaveUp++ })
		return
	}
	took := time.Since(began)
	r.count(func(s *Result) { s.Accepted++; r.accept.add(took) })
	accepted()
	due := time.Duration(arrival.Job.DeadlineS * float64(time.Second))
	if due > 0 {
		r.count(func(s *Result) { s.WithDue++ })
	}
	final, at := r.watch(ctx, arrival, state, began)
	r.count(func(result *Result) {
		switch final {
		case protocol.Done:
			result.Done++
			r.complete.add(at)
		case protocol.Cancelled:
			result.Cancelled++
		default:
			result.Open++
		}
		if due > 0 && final != protocol.Cancelled && at > due {
			result.Late++
		}
	})
}

// upload puts a job's description where workers fetch it.
func (r *Runner) upload(a *Arrival, body []byte) error {
	raw, err := client.Describe(body, a.Run, a.Fails)
	if err != nil {
		return err
	}
	return r.Upload(a.Job.ID, raw)
}

// watch polls a job until it is over and cancels it if its user wants to. A last poll some
// time after the end finds out whether it was told otherwise.
func (r *Runner) watch(ctx context.Context, arrival *Arrival, state protocol.JobState, began time.Time) (protocol.JobStatus, time.Duration) {
	asked := time.Now()
	cancelled := arrival.CancelAfter == 0
	for !state.Status.Final() {
		pause := r.PollEvery*3/4 + rand.N(r.PollEvery/2)
		if !cancelled {
			pause = min(pause, time.Until(asked.Add(arrival.CancelAfter)))
		}
		if !wait.For(ctx, pause) {
			return state.Status, time.Since(began)
		}
		var next protocol.JobState
		var err error
		if !cancelled && time.Since(asked) >= arrival.CancelAfter {
			next, err = r.To.Cancel(ctx, arrival.Job.ID)
			cancelled = err == nil
		} else {
			sent := time.Now()
			next, err = r.To.Status(arrival.Job.ID)
			took := time.Since(sent)
			r.count(func(*Result) { r.answers.add(took) })
		}
		if err == nil {
			state = next
		}
	}
	took := time.Since(began)
	if wait.For(ctx, r.PollEvery) {
		if again, err := r.To.Status(arrival.Job.ID); err == nil && again.Status != state.Status || errors.Is(err, client.ErrNotFound) {
			r.count(func(s *Result) { s.WentBack++ })
		}
	}
	return state.Status, took
}

// Print writes a result for people. An error is the output's.
func (r *Result) Print(w io.Writer) error {
	table := textout.NewTable(w, tabwriter.AlignRight)
	table.Printf("seed %d: %d jobs, %d accepted, %d rejected, %d without a certain answer, %d repeats\n", r.Seed, r.Jobs, r.Accepted, r.Rejected, r.GaveUp, r.Retries)
	table.Printf("%d done, %d cancelled, %d open; %d of %d late; %d went back\n", r.Done, r.Cancelled, r.Open, r.Late, r.WithDue, r.WentBack)
	table.Println("ms\tcount\tp50\tp99\tmax\t")
	for _, x := range []struct {
		name string
		s    Span
	}{{"accepted after", r.Accept}, {"done after", r.Complete}, {"polls answered in", r.Answers}, {"came later than planned by", r.Behind}} {
		table.Printf("%s\t%d\t%d\t%d\t%d\t\n", x.name, x.s.Count, x.s.P50, x.s.P99, x.s.Max)
	}
	return table.Flush()
}

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

// Deployment accepts jobs; *client.Client implements it. Its methods are called concurrently, and their errors wrap
// those of package client.
type Deployment interface {
	Submit(ctx context.Context, body []byte) (protocol.JobState, error)
	Cancel(ctx context.Context, id string) (protocol.JobState, error)
	Status(id string) (protocol.JobState, error)
}

// Result holds the outcomes of the jobs of a run, and latencies in milliseconds.
type Result struct {
	Seed             uint64       `json:"seed"`
	Jobs             int          `json:"jobs"`
	Accepted         int          `json:"accepted"`
	Rejected         int          `json:"rejected"` // jobs refused as invalid (400 or 422), or whose description could not be uploaded
	Inconclusive     int          `json:"gave_up"`  // submissions without a conclusive response within a minute
	Retries          int          `json:"retries"`
	Done             int          `json:"done"`
	Cancelled        int          `json:"cancelled"`
	Open             int          `json:"open"` // accepted jobs without a final status at the end of the run
	Late             int          `json:"late"` // jobs with a deadline that were done after it, or still open beyond it
	WithDeadline     int          `json:"with_deadline"`
	Regressed        int          `json:"went_back"`           // jobs whose status changed, or that were not found, after a final status; must be 0
	AcceptTimes      Distribution `json:"accept_ms"`           // from the first try to the acceptance
	CompletionTimes  Distribution `json:"complete_ms"`         // from the first try until a poll showed the job as done
	PollTimes        Distribution `json:"poll_ms"`             // latency of status requests
	SubmissionDelays Distribution `json:"generator_behind_ms"` // how much later than planned jobs were submitted
}

// Distribution summarizes a distribution of times in milliseconds.
type Distribution struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// maxRecordedMs is the largest value that a histogram records, in milliseconds: one day. Longer times count as this one.
const maxRecordedMs = 24 * 3600 * 1000

// histogram is a histogram of times in milliseconds.
type histogram struct{ hdr *hdrhistogram.Histogram }

func newHistogram() histogram { return histogram{hdrhistogram.New(1, maxRecordedMs, 3)} }

func (t histogram) add(d time.Duration) {
	_ = t.hdr.RecordValue(max(1, min(maxRecordedMs, d.Milliseconds()))) // no error: the value is within the bounds
}

func (t histogram) distribution() Distribution {
	return Distribution{t.hdr.TotalCount(), t.hdr.ValueAtQuantile(50), t.hdr.ValueAtQuantile(99), t.hdr.Max()}
}

// Runner submits the jobs of a plan to a deployment and follows them until they are final. A Runner is good for one
// call of Run.
type Runner struct {
	// Deployment is the deployment that the jobs are submitted to.
	Deployment Deployment
	// Upload, if not nil, stores a job's description where workers fetch it. It is called before the job is submitted.
	Upload func(id string, description []byte) error
	// PollEvery is the mean time between two status requests for a job; 0 stands for five seconds.
	PollEvery time.Duration

	mu                                                        sync.Mutex
	result                                                    Result
	acceptTimes, completionTimes, pollTimes, submissionDelays histogram
}

// Run submits the jobs at their times and returns the result when all are final, when ctx ends, or when drain has
// passed since the last arrival. A submission does not wait for the responses to earlier ones, except that a job is
// submitted only after the jobs it depends on have been accepted.
func (r *Runner) Run(ctx context.Context, plan []Arrival, drain time.Duration) Result {
	r.acceptTimes, r.completionTimes, r.pollTimes, r.submissionDelays = newHistogram(), newHistogram(), newHistogram(), newHistogram()
	r.result = Result{Jobs: len(plan)}
	if r.PollEvery == 0 {
		r.PollEvery = 5 * time.Second // the interval that the protocol prescribes for users
	}
	began := time.Now()
	var jobs sync.WaitGroup
	runCtx, cancel := context.WithCancel(ctx)
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
		delay := time.Since(began.Add(arrival.At))
		r.mu.Lock()
		r.submissionDelays.add(delay)
		r.mu.Unlock()
		jobs.Go(func() {
			for _, id := range arrival.Job.Dependencies {
				select {
				case <-accepted[id]:
				case <-runCtx.Done():
					return
				}
			}
			r.runJob(runCtx, arrival, func() { close(accepted[arrival.Job.ID]) })
		})
	}
	finished := make(chan struct{})
	go func() { jobs.Wait(); close(finished) }()
	timer := time.NewTimer(drain)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
	case <-ctx.Done():
	}
	cancel()
	<-finished
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.AcceptTimes, r.result.CompletionTimes, r.result.PollTimes, r.result.SubmissionDelays = r.acceptTimes.distribution(), r.completionTimes.distribution(), r.pollTimes.distribution(), r.submissionDelays.distribution()
	return r.result
}

// Retried counts a request that is retried; it fits client.Client.Retried. It is safe for concurrent use.
func (r *Runner) Retried(int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Retries++
}

// updateResult applies f to the result while holding the lock.
func (r *Runner) updateResult(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.result)
}

// runJob plays the user of one job: it uploads and submits the job and follows it until it is final. It calls accepted
// once the job has been accepted.
func (r *Runner) runJob(ctx context.Context, arrival *Arrival, accepted func()) {
	body, err := protocol.EncodeSubmission(&arrival.Job)
	if err == nil && r.Upload != nil {
		err = r.upload(arrival, body)
	}
	if err != nil {
		r.updateResult(func(s *Result) { s.Rejected++ })
		return
	}
	began := time.Now()
	state, err := r.Deployment.Submit(ctx, body)
	switch {
	case errors.Is(err, client.ErrRejected):
		r.updateResult(func(s *Result) { s.Rejected++ })
		return
	case err != nil:
		r.updateResult(func(s *Result) { s.Inconclusive++ })
		return
	}
	took := time.Since(began)
	r.updateResult(func(s *Result) { s.Accepted++; r.acceptTimes.add(took) })
	accepted()
	due := time.Duration(arrival.Job.DeadlineS * float64(time.Second))
	if due > 0 {
		r.updateResult(func(s *Result) { s.WithDeadline++ })
	}
	final, elapsed := r.followJob(ctx, arrival, state, began)
	r.updateResult(func(result *Result) {
		switch final {
		case protocol.Done:
			result.Done++
			r.completionTimes.add(elapsed)
		case protocol.Cancelled:
			result.Cancelled++
		default:
			result.Open++
		}
		if due > 0 && final != protocol.Cancelled && elapsed > due {
			result.Late++
		}
	})
}

// upload stores a job's description where workers fetch it.
func (r *Runner) upload(a *Arrival, body []byte) error {
	raw, err := client.Describe(body, a.TaskDuration, a.Fails)
	if err != nil {
		return err
	}
	return r.Upload(a.Job.ID, raw)
}

// followJob polls a job until its status is final, and cancels it when the plan says so. It returns the last status and
// the time since began. One more poll, PollEvery after the final status, checks that the status has not changed.
func (r *Runner) followJob(ctx context.Context, arrival *Arrival, state protocol.JobState, began time.Time) (protocol.JobStatus, time.Duration) {
	acceptedAt := time.Now()
	cancelled := arrival.CancelAfter == 0
	for !state.Status.Final() {
		pause := r.PollEvery*3/4 + rand.N(r.PollEvery/2)
		if !cancelled {
			pause = min(pause, time.Until(acceptedAt.Add(arrival.CancelAfter)))
		}
		if !wait.For(ctx, pause) {
			return state.Status, time.Since(began)
		}
		var next protocol.JobState
		var err error
		if !cancelled && time.Since(acceptedAt) >= arrival.CancelAfter {
			next, err = r.Deployment.Cancel(ctx, arrival.Job.ID)
			cancelled = err == nil
		} else {
			sent := time.Now()
			next, err = r.Deployment.Status(arrival.Job.ID)
			took := time.Since(sent)
			r.updateResult(func(*Result) { r.pollTimes.add(took) })
		}
		if err == nil {
			state = next
		}
	}
	took := time.Since(began)
	if wait.For(ctx, r.PollEvery) {
		if again, err := r.Deployment.Status(arrival.Job.ID); err == nil && again.Status != state.Status || errors.Is(err, client.ErrNotFound) {
			r.updateResult(func(s *Result) { s.Regressed++ })
		}
	}
	return state.Status, took
}

// Print writes the result as a table. The error is the first one of the writer.
func (r *Result) Print(w io.Writer) error {
	table := textout.NewTable(w, tabwriter.AlignRight)
	table.Printf("seed %d: %d jobs, %d accepted, %d rejected, %d without a certain answer, %d repeats\n", r.Seed, r.Jobs, r.Accepted, r.Rejected, r.Inconclusive, r.Retries)
	table.Printf("%d done, %d cancelled, %d open; %d of %d late; %d went back\n", r.Done, r.Cancelled, r.Open, r.Late, r.WithDeadline, r.Regressed)
	table.Println("ms\tcount\tp50\tp99\tmax\t")
	for _, x := range []struct {
		name string
		s    Distribution
	}{{"accepted after", r.AcceptTimes}, {"done after", r.CompletionTimes}, {"polls answered in", r.PollTimes}, {"came later than planned by", r.SubmissionDelays}} {
		table.Printf("%s\t%d\t%d\t%d\t%d\t\n", x.name, x.s.Count, x.s.P50, x.s.P99, x.s.Max)
	}
	return table.Flush()
}

package loadgen

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/client"
	"dykeledge/internal/protocol"
)

const profile = "for_s = 60\n[[stream]]\nteam = \"red\"\nper_minute = 300\ntasks = [1, 3]\ndue_in = 2\nrun_s = [5]\nchain_part = 0.2\n"

func TestProfile(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{profile, ""},
		{strings.Replace(profile, "red", "", 1), "stream[0].team"},
		{strings.Replace(profile, "[1, 3]", "[3, 1]", 1), "stream[0].tasks"},
		{strings.Replace(profile, "[1, 3]", "\"many\"", 1), "line 5"},
		{strings.Replace(profile, "run_s", "runs_s", 1), "runs_s"},
		{profile + "priority = \"urgent\"\n", "stream[0].priority"},
		{profile + "service = true\n", "stream[0].chain_part"},
		{"for_s = 0\n", "for_s"},
		{"for_s = 9\n", "stream"},
	} {
		t.Run("error "+strconv.Quote(test.want), func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			if (err == nil) != (test.want == "") || err != nil && (!strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n")) {
				t.Errorf("profile %q: error %v, want one line that contains %q", test.text, err, test.want)
			}
		})
	}
}

// TestPlan checks that the same seed yields the same jobs and another seed other jobs, and that all jobs are valid
// and depend only on jobs with an earlier arrival.
func TestPlan(t *testing.T) {
	red, err := Parse([]byte(profile))
	if err != nil {
		t.Fatal(err)
	}
	arrivals, err1 := red.Plan(7)
	again, err2 := red.Plan(7)
	other, err3 := red.Plan(8)
	if err := errors.Join(err1, err2, err3); err != nil || !reflect.DeepEqual(arrivals, again) || reflect.DeepEqual(arrivals, other) || len(arrivals) < 200 || len(arrivals) > 400 {
		t.Fatalf("seed 7: %d jobs, seed 8: %d jobs, %v; want 200 to 400 jobs that depend on the seed only", len(arrivals), len(other), err)
	}
	at := map[string]time.Duration{}
	for _, arrival := range arrivals {
		raw, err := protocol.EncodeSubmission(&arrival.Job)
		if err != nil {
			t.Fatal(err)
		}
		back, err := protocol.ParseSubmission(raw)
		if err != nil || back.ID != arrival.Job.ID || back.Tasks != arrival.Job.Tasks || back.DeadlineS != arrival.Job.DeadlineS || fmt.Sprint(back.Dependencies) != fmt.Sprint(arrival.Job.Dependencies) {
			t.Fatalf("submission %s was decoded as %+v, %v; want the drawn job", raw, back, err)
		}
		for _, id := range arrival.Job.Dependencies {
			if _, ok := at[id]; !ok {
				t.Fatalf("%s depends on %s, which arrives later or never", arrival.Job.ID, id)
			}
		}
		at[arrival.Job.ID] = arrival.At
	}
}

// slowDeployment is a deployment that answers submissions after 20 s, and that reports one job as running again after it
// reported it as done.
type slowDeployment struct {
	mu           sync.Mutex
	jobs         map[string]time.Time
	regressing   string
	reportedDone bool
}

func (s *slowDeployment) Submit(_ context.Context, body []byte) (protocol.JobState, error) {
	p, err := protocol.ParseSubmission(body)
	if err != nil {
		return protocol.JobState{}, err
	}
	time.Sleep(20 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[p.ID] = time.Now()
	return protocol.JobState{ID: p.ID, Status: protocol.Queued}, nil
}

func (s *slowDeployment) Cancel(context.Context, string) (protocol.JobState, error) {
	return protocol.JobState{}, client.ErrInconclusive
}

func (s *slowDeployment) Status(id string) (protocol.JobState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.jobs[id]) < 5*time.Second || id == s.regressing && s.reportedDone {
		return protocol.JobState{ID: id, Status: protocol.Running}, nil
	}
	s.reportedDone = s.reportedDone || id == s.regressing
	return protocol.JobState{ID: id, Status: protocol.Done}, nil
}

// TestOpenLoop checks that jobs are submitted at their times although earlier submissions have not been answered yet,
// and that a job whose final status is followed by another status is counted.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		red, err := Parse([]byte(strings.Replace(profile, "chain_part = 0.2", "", 1)))
		if err != nil {
			t.Fatal(err)
		}
		plan, err := red.Plan(7)
		if err != nil {
			t.Fatal(err)
		}
		s := &slowDeployment{jobs: map[string]time.Time{}, regressing: plan[3].Job.ID}
		r := (&Runner{Deployment: s}).Run(t.Context(), plan, 5*time.Minute)
		if r.Accepted != len(plan) || r.Done != len(plan) || r.Regressed != 1 || r.SubmissionDelays.Max > 2 || r.AcceptTimes.P50 < 19_900 || r.AcceptTimes.P50 > 20_100 || r.Late != len(plan) {
			t.Errorf("result %+v, want all of %d jobs accepted, done and late, accepted after 20 s, and one that went back", r, len(plan))
		}
		var b strings.Builder
		if err := r.Print(&b); err != nil || !strings.Contains(b.String(), "1 went back") {
			t.Error(b.String(), err)
		}
	})
}

package schedule

import (
	"strings"
	"testing"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// Guards against an overload in which the order by latest start makes every job a little late, one after the
// other.
func TestOrderUnderOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	type waitingJob struct {
		id             string // jobs whose ID starts with "never" have had no task placed for too long
		tasks          int
		age            float64 // seconds since its submission
		missedDeadline bool
	}
	for _, test := range []struct {
		name        string
		capacity    float64 // CPUs
		overdueCpus float64 // CPUs of the queue used by overdue jobs
		jobs        []waitingJob
		want        string
	}{
		{"capacity for all: the oldest first", 100, 0, []waitingJob{{"a", 4, 5, false}, {"b", 40, 20, false}, {"c", 2, 10, false}}, "b c a"},
		{"more work than the capacity: the largest job is deferred", 8, 0, []waitingJob{{"a", 4, 5, false}, {"b", 40, 20, false}, {"c", 2, 10, false}}, "c a b"},
		{"jobs that missed their deadline are deferred, small jobs first", 100, 0, []waitingJob{{"a", 4, 5, false}, {"b", 9, 90, true}, {"c", 2, 80, true}}, "a c b"},
		{"a job that can no longer meet its deadline is deferred", 100, 0, []waitingJob{{"a", 4, 5, false}, {"b", 9, 49, false}}, "a b"},
		{"the oldest overdue job goes first", 8, 0, []waitingJob{{"a", 4, 5, false}, {"b", 40, 900, true}, {"c", 2, 950, true}, {"d", 1, 890, true}}, "c a d b"},
		{"an overdue job is not promoted when such jobs use their fraction already", 8, 2, []waitingJob{{"a", 4, 5, false}, {"b", 40, 900, true}}, "a b"},
		{"a starving job goes first, with one task", 8, 2, []waitingJob{{"a", 4, 5, false}, {"never b", 40, 200, true}, {"c", 2, 300, true}}, "never b a c"},
	} {
		t.Run(test.name, func(t *testing.T) {
			hasMissed := map[*storage.Job]bool{}
			input := &Input{
				Now:        now,
				Capacity:   storage.Usage{Cpus: 1000},
				Queues:     QueueStates{{UsedByOverdue: test.overdueCpus, Overloaded: true, Used: test.capacity}},
				Overloaded: true,
				Overdue:    func(j *storage.Job) bool { return now.Sub(j.ReadyAt) > 600*time.Second },
				Starving:   func(j *storage.Job) bool { return strings.HasPrefix(j.ID, "never") },
				TimeAllowed: func(j *storage.Job) (time.Duration, bool) {
					return 60 * time.Second, hasMissed[j]
				},
			}
			queue := &jobQueue{}
			for _, waiting := range test.jobs {
				j := job(waiting.id, waiting.tasks, 1, protocol.Normal)
				j.ReadyAt = now.Add(-time.Duration(waiting.age * float64(time.Second)))
				j.Estimate = 10
				hasMissed[j] = waiting.missedDeadline
				cursor := &jobCursor{job: j, tasksLeft: waiting.tasks}
				cursor.setDeadline(input)
				queue.jobs = append(queue.jobs, cursor)
			}
			queue.order(input)
			var order []string
			for _, cursor := range queue.jobs {
				order = append(order, cursor.job.ID)
				if input.Starving(cursor.job) && cursor.tasksLeft != 1 {
					t.Errorf("%d tasks of %s go first, want 1", cursor.tasksLeft, cursor.job.ID)
				}
			}
			if got := strings.Join(order, " "); got != test.want {
				t.Errorf("order %s, want %s", got, test.want)
			}
		})
	}
}
